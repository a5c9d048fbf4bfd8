package slopes

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Sizes of the subsets that an entry keeps.
const (
	// nearPeers is the number of peers, besides fellow members of slots, that get
	// every heartbeat.
	nearPeers = 16
	// knownTargets is the number of targets of a pool that an entry listens to.
	knownTargets = 64
)

// costOfSubsets measures what an idle entry spends a second for each entry and
// each target outside its subsets.
func costOfSubsets(r *Report) error {
	how := "idle entries with one slot before 6 sidecars over 30 s, for one entry"
	cpu := Slope{Name: "entry_far_peer_microseconds", Unit: "µs of reducer time a second", Per: "entries outside the subset", How: how}
	bytes := Slope{Name: "entry_far_peer_bytes", Unit: "bytes sent a second", Per: "entries outside the subset", How: how}
	for _, n := range farSizes {
		c := newClusterOf(r.Seed, n, 2*domains, 1)
		micros, sent := c.idleEntry(n)
		cpu.add(float64(n-1-nearPeers), micros)
		bytes.add(float64(n-1-nearPeers), sent)
	}
	how = "3 idle entries before sidecars of one pool over 30 s, for one entry"
	otherCPU := Slope{Name: "entry_other_target_microseconds", Unit: "µs of reducer time a second", Per: "targets outside the subset", How: how}
	otherBytes := Slope{Name: "entry_other_target_bytes", Unit: "bytes sent a second", Per: "targets outside the subset", How: how}
	for _, n := range otherSizes {
		c := newCluster(r.Seed, domains, n)
		micros, sent := c.idleEntry(domains)
		otherCPU.add(float64(n-knownTargets), micros)
		otherBytes.add(float64(n-knownTargets), sent)
	}
	r.Slopes = append(r.Slopes, cpu, bytes, otherCPU, otherBytes)
	return nil
}

// idleEntry returns the microseconds and the bytes that one of a number of idle
// entries spends a second.
func (c *cluster) idleEntry(entries int) (micros, bytes float64) {
	c.idle()
	m := c.roles[core.RoleEntry]
	seconds := float64(idleTime) / float64(core.Second) * float64(entries)
	return float64(m.spent.Microseconds()) / seconds, float64(m.bytes) / seconds
}
