package slopes

import (
	"fmt"
	"runtime"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Sizes of the measurements.
var (
	programSizes = []int{1000, 2000, 4000, 8000}
	callSizes    = []int{1000, 2000, 4000}
	// peerSizes are small enough that all peers get every heartbeat.
	peerSizes = []int{3, 6, 12, 17}
	// reducedRateSizes exceed the number of peers that get every heartbeat, and
	// targetSubsetSizes the number of targets whose load reports an entry
	// receives.
	reducedRateSizes  = []int{24, 48, 96}
	targetSizes       = []int{6, 24, 60}
	targetSubsetSizes = []int{96, 192, 384}
)

// idleTime is the duration of a measurement without calls.
const idleTime = 30 * core.Second

// callTime is the time over which the calls of a measurement are started.
const callTime = 20 * core.Second

// FailedCallsError reports calls that failed during a measurement, which makes the
// measured costs too low.
type FailedCallsError struct {
	Step   string
	Failed int
}

// Error returns the step and the number of failed calls.
func (e *FailedCallsError) Error() string {
	return fmt.Sprintf("%s: %d calls failed", e.Step, e.Failed)
}

// Run makes all measurements in virtual time.
func Run(seed uint64) (*Report, error) {
	r := &Report{Seed: seed}
	for _, measure := range []func(*Report) error{memoryOfPrograms, costOfCalls, costOfPeers, costOfTargets, costOfSubsets, costOfHistory} {
		if err := measure(r); err != nil {
			return nil, err
		}
	}
	for i := range r.Slopes {
		r.Slopes[i].fit()
	}
	return r, nil
}

// heap returns the size of the live heap in bytes, after a garbage collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memoryOfPrograms measures the bytes of a copy of a program's record, averaged
// over the owner and the replicas.
func memoryOfPrograms(r *Report) error {
	const turns, copies = 4, replicas + 1
	s := Slope{
		Name: "program_copy_bytes", Unit: "bytes", Per: "copies of a program's record",
		Method: "live heap of 3 entries and 6 sidecars after programs of 4 turns, over 3 copies each",
	}
	for _, n := range programSizes {
		before := heap()
		c := newCluster(r.Seed, domains, 2*domains)
		if failed := c.runPrograms(n, turns, core.Duration(n)*10*core.Millisecond); failed > 0 {
			return &FailedCallsError{Step: s.Name, Failed: failed}
		}
		s.add(float64(n*copies), heap()-before)
		runtime.KeepAlive(c)
	}
	r.Slopes = append(r.Slopes, s)
	return nil
}

// costOfCalls measures processor time, messages and bytes per call for each role,
// summed over its processes.
func costOfCalls(r *Report) error {
	roles := []core.VMRole{core.RoleEntry, core.RoleSidecar}
	names := map[core.VMRole]string{core.RoleEntry: "entry", core.RoleSidecar: "sidecar"}
	cpu, bytes, messages := map[core.VMRole]*Slope{}, map[core.VMRole]*Slope{}, map[core.VMRole]*Slope{}
	for _, role := range roles {
		method := "model calls at 3 entries with 2 mirrors and 6 sidecars within 20 s, summed over the " + names[role] + " processes"
		cpu[role] = &Slope{Name: names[role] + "_call_microseconds", Unit: "µs of reducer time", Per: "calls", Method: method}
		bytes[role] = &Slope{Name: names[role] + "_call_bytes", Unit: "bytes sent", Per: "calls", Method: method}
		messages[role] = &Slope{Name: names[role] + "_call_messages", Unit: "messages sent", Per: "calls", Method: method}
	}
	for _, n := range callSizes {
		c := newCluster(r.Seed, domains, 2*domains)
		c.reset()
		if failed := c.runPrograms(n, 1, callTime); failed > 0 {
			return &FailedCallsError{Step: "calls", Failed: failed}
		}
		for _, role := range roles {
			m := c.roles[role]
			cpu[role].add(float64(n), float64(m.reducerTime.Microseconds()))
			bytes[role].add(float64(n), float64(m.bytes))
			messages[role].add(float64(n), float64(m.messages))
		}
	}
	for _, role := range roles {
		r.Slopes = append(r.Slopes, *cpu[role], *bytes[role], *messages[role])
	}
	return nil
}

// costOfPeers measures the costs per second that an idle entry has for each
// peer.
func costOfPeers(r *Report) error {
	method := "idle entries with one slot before 6 sidecars over 30 s, for one entry"
	cpu := Slope{Name: "entry_peer_microseconds", Unit: "µs of reducer time a second", Per: "other entries", Method: method}
	bytes := Slope{Name: "entry_peer_bytes", Unit: "bytes sent a second", Per: "other entries", Method: method}
	store := Slope{Name: "entry_peer_store_calls", Unit: "key-value calls a second", Per: "other entries", Method: method}
	for _, n := range peerSizes {
		c := newClusterWithSlots(r.Seed, n, 2*domains, 1)
		c.idle()
		m := c.roles[core.RoleEntry]
		seconds := float64(idleTime) / float64(core.Second) * float64(n)
		cpu.add(float64(n-1), float64(m.reducerTime.Microseconds())/seconds)
		bytes.add(float64(n-1), float64(m.bytes)/seconds)
		store.add(float64(n-1), float64(m.storeCalls)/seconds)
	}
	r.Slopes = append(r.Slopes, cpu, bytes, store)
	return nil
}

// idle runs the cluster without calls for idleTime and meters the costs.
func (c *cluster) idle() {
	c.run(settleTime)
	c.reset()
	c.run(idleTime)
}

// costOfTargets measures the memory and the costs per second that each target
// causes at an idle entry, and that each entry that receives its load reports
// causes at an idle sidecar.
func costOfTargets(r *Report) error {
	method := "3 idle entries before sidecars over 30 s, for one entry"
	cpu := Slope{Name: "entry_target_microseconds", Unit: "µs of reducer time a second", Per: "targets", Method: method}
	bytes := Slope{Name: "entry_target_bytes", Unit: "bytes sent a second", Per: "targets", Method: method}
	memory := Slope{Name: "target_heap_bytes", Unit: "bytes", Per: "targets", Method: "live heap of 3 idle entries and the sidecars, with the stand-in engines"}
	report := Slope{Name: "sidecar_listener_bytes", Unit: "bytes sent a second", Per: "listening entries", Method: "6 idle sidecars before entries over 30 s, for one sidecar"}
	for _, n := range targetSizes {
		before := heap()
		c := newCluster(r.Seed, domains, n)
		c.idle()
		memory.add(float64(n), heap()-before)
		m := c.roles[core.RoleEntry]
		seconds := float64(idleTime) / float64(core.Second) * domains
		cpu.add(float64(n), float64(m.reducerTime.Microseconds())/seconds)
		bytes.add(float64(n), float64(m.bytes)/seconds)
		runtime.KeepAlive(c)
	}
	for _, n := range peerSizes {
		c := newCluster(r.Seed, n, 2*domains)
		c.idle()
		seconds := float64(idleTime) / float64(core.Second) * 2 * domains
		report.add(float64(n), float64(c.roles[core.RoleSidecar].bytes)/seconds)
	}
	r.Slopes = append(r.Slopes, cpu, bytes, memory, report)
	return nil
}
