package sim

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Network sets the latencies and faults of the network between processes.
type Network struct {
	// Local and Remote are one-way latencies within and between failure domains.
	Local  core.Duration
	Remote core.Duration
	// Jitter bounds the random part of a latency.
	Jitter core.Duration
	// Loss, Duplicate and Delay are probabilities for each message. A delayed
	// message takes up to MaxDelay longer, so that later messages can overtake
	// it.
	Loss      float64
	Duplicate float64
	Delay     float64
	MaxDelay  core.Duration
}

// Default values of the fields of Network.
const (
	defaultLocal    = 200 * core.Microsecond
	defaultRemote   = 900 * core.Microsecond
	defaultJitter   = 100 * core.Microsecond
	defaultMaxDelay = 2 * core.Second
)

func (n Network) withDefaults() Network {
	if n.Local == 0 {
		n.Local = defaultLocal
	}
	if n.Remote == 0 {
		n.Remote = defaultRemote
	}
	if n.Jitter == 0 {
		n.Jitter = defaultJitter
	}
	if n.MaxDelay == 0 {
		n.MaxDelay = defaultMaxDelay
	}
	return n
}

// NetworkStats counts messages by what happened to them: Blackholed and
// Partitioned were dropped by those faults, Stale were addressed to a process
// that was down or had restarted.
type NetworkStats struct {
	Sent, Lost, Duplicated, Delayed, Blackholed, Partitioned, Stale uint64
}

// pair identifies the connection between two VMs by their indexes, the lower
// one first.
type pair struct{ a, b int }

func pairOf(a, b *Node) pair {
	if a.index < b.index {
		return pair{a.index, b.index}
	}
	return pair{b.index, a.index}
}

type network struct {
	sim         *Sim
	cfg         Network
	stats       NetworkStats
	blackholed  map[pair]core.Instant
	partitioned map[core.Domain]bool
}

func newNetwork(s *Sim, cfg Network) network {
	return network{sim: s, cfg: cfg, blackholed: map[pair]core.Instant{}, partitioned: map[core.Domain]bool{}}
}

// NetworkStats returns the counts of the network.
func (s *Sim) NetworkStats() NetworkStats { return s.net.stats }

// SetLoss changes the probabilities of loss, duplication and delay.
func (s *Sim) SetLoss(loss, duplicate, delay float64) {
	s.net.cfg.Loss = loss
	s.net.cfg.Duplicate = duplicate
	s.net.cfg.Delay = delay
}

// PartitionDomain cuts a failure domain off from all others and from the
// key-value service until HealDomain.
func (s *Sim) PartitionDomain(d core.Domain) { s.net.partitioned[d] = true }

// HealDomain ends the partition of a failure domain.
func (s *Sim) HealDomain(d core.Domain) {
	delete(s.net.partitioned, d)
	s.Store.resumeWatches()
}

// BlackholeConnection makes the open connection between two VMs drop all
// messages without an error. After detectionTime both ends have detected this
// and use a new connection.
func (s *Sim) BlackholeConnection(a, b *Node, detectionTime core.Duration) {
	if a == b {
		return
	}
	s.net.blackholed[pairOf(a, b)] = s.now.Add(detectionTime)
}

// BlackholeAllConnections blackholes every connection between running nodes.
// The two ends of a connection detect this after a random time between half of
// maxDetectionTime and maxDetectionTime.
func (s *Sim) BlackholeAllConnections(maxDetectionTime core.Duration) {
	for i, a := range s.nodeOrder {
		for _, b := range s.nodeOrder[i+1:] {
			if a.running && b.running {
				s.BlackholeConnection(a, b, maxDetectionTime/2+s.rng.Int64N(maxDetectionTime/2+1))
			}
		}
	}
}

// canDeliver reports whether node b can now receive messages from node a. If
// not, it counts a dropped message.
func (w *network) canDeliver(a, b *Node) bool {
	if a == b {
		return true
	}
	if w.isPartitioned(a, b) {
		w.stats.Partitioned++
		return false
	}
	if len(w.blackholed) == 0 {
		return true
	}
	p := pairOf(a, b)
	until, ok := w.blackholed[p]
	if !ok {
		return true
	}
	if w.sim.now >= until {
		delete(w.blackholed, p)
		return true
	}
	w.stats.Blackholed++
	return false
}

func (w *network) isPartitioned(a, b *Node) bool {
	if len(w.partitioned) == 0 || a.domain == b.domain {
		return false
	}
	return w.partitioned[a.domain] || w.partitioned[b.domain]
}

func (w *network) latency(a, b *Node) core.Duration {
	base := w.cfg.Remote
	if a.domain == b.domain {
		base = w.cfg.Local
	}
	return base + w.sim.rng.Int64N(w.cfg.Jitter)
}

// chance returns true with probability p.
func (w *network) chance(p float64) bool { return p > 0 && w.sim.rng.Float64() < p }

// send delivers a message once or twice, late, or not at all.
func (w *network) send(from *Node, e core.Send) {
	to := w.sim.nodes[e.To.VM]
	w.stats.Sent++
	if to == nil || to.removed {
		return
	}
	if from != to && !w.canDeliver(from, to) {
		return
	}
	if from != to && w.chance(w.cfg.Loss) {
		w.stats.Lost++
		return
	}
	w.deliverCopy(from, to, e)
	if from != to && w.chance(w.cfg.Duplicate) {
		w.stats.Duplicated++
		w.deliverCopy(from, to, e)
	}
}

// deliverCopy schedules one copy of a message. A zero incarnation addresses
// whichever process runs on the VM.
func (w *network) deliverCopy(from, to *Node, e core.Send) {
	delay := w.latency(from, to)
	if from != to && w.chance(w.cfg.Delay) {
		w.stats.Delayed++
		delay += w.sim.rng.Int64N(w.cfg.MaxDelay)
	}
	incarnation := e.To.Inc
	if incarnation == 0 {
		incarnation = to.id.Inc
	}
	if incarnation != to.id.Inc || !to.running {
		w.stats.Stale++
		return
	}
	ev := core.Recv{From: from.id, Msg: e.Msg}
	w.sim.schedule(item{at: w.sim.now.Add(delay), node: to, incarnation: incarnation, ev: ev})
}

// latencyTo returns the latency to a VM that may be unknown.
func (w *network) latencyTo(a *Node, vm core.VM) core.Duration {
	b := w.sim.nodes[vm]
	if b == nil {
		return w.cfg.Remote
	}
	return w.latency(a, b)
}
