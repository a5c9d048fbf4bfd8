package slopes

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Sizes of the subsets of peers and targets that an entry of the product uses.
const (
	// fullRatePeers is the number of peers, besides the members of the entry's
	// slots, that get every heartbeat.
	fullRatePeers = 16
	// knownTargets is the number of targets of a pool whose load reports an entry
	// receives.
	knownTargets = 64
)

// costOfSubsets measures the costs per second that an idle entry has for each
// peer and each target that is not in the entry's subsets.
func costOfSubsets(r *Report) error {
	method := "idle entries with one slot before 6 sidecars over 30 s, for one entry"
	cpu := Slope{Name: "entry_far_peer_microseconds", Unit: "µs of reducer time a second", Per: "entries outside the subset", Method: method}
	bytes := Slope{Name: "entry_far_peer_bytes", Unit: "bytes sent a second", Per: "entries outside the subset", Method: method}
	for _, n := range reducedRateSizes {
		c := newClusterWithSlots(r.Seed, n, 2*domains, 1)
		micros, sent := c.idleEntry(n)
		cpu.add(float64(n-1-fullRatePeers), micros)
		bytes.add(float64(n-1-fullRatePeers), sent)
	}
	method = "3 idle entries before sidecars of one pool over 30 s, for one entry"
	otherCPU := Slope{Name: "entry_other_target_microseconds", Unit: "µs of reducer time a second", Per: "targets outside the subset", Method: method}
	otherBytes := Slope{Name: "entry_other_target_bytes", Unit: "bytes sent a second", Per: "targets outside the subset", Method: method}
	for _, n := range targetSubsetSizes {
		c := newCluster(r.Seed, domains, n)
		micros, sent := c.idleEntry(domains)
		otherCPU.add(float64(n-knownTargets), micros)
		otherBytes.add(float64(n-knownTargets), sent)
	}
	r.Slopes = append(r.Slopes, cpu, bytes, otherCPU, otherBytes)
	return nil
}

// idleEntry returns the reducer time in microseconds and the bytes sent, per
// second of an idle entry. Both are averaged over the given number of entries.
func (c *cluster) idleEntry(entries int) (micros, bytes float64) {
	c.idle()
	m := c.roles[core.RoleEntry]
	seconds := float64(idleTime) / float64(core.Second) * float64(entries)
	return float64(m.reducerTime.Microseconds()) / seconds, float64(m.bytes) / seconds
}
