package sim

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// Network sets the constants of the network between processes.
type Network struct {
	// Local and Remote are one-way latencies within and between failure domains.
	Local  core.Duration
	Remote core.Duration
	// Jitter bounds the random part of a latency.
	Jitter core.Duration
	// Loss, Duplicate and Delay are probabilities for each message. A delayed
	// message takes up to MaxDelay and so is overtaken by later ones.
	Loss      float64
	Duplicate float64
	Delay     float64
	MaxDelay  core.Duration
}

// Defaults of Network.
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

// NetworkStats counts what the network did to messages.
type NetworkStats struct {
	Sent, Lost, Duplicated, Delayed, Blackholed, Partitioned, Stale uint64
}

// pair is a connection between two VMs, lower index first.
type pair struct{ a, b int }

func pairOf(a, b *Node) pair {
	if a.index < b.index {
		return pair{a.index, b.index}
	}
	return pair{b.index, a.index}
}

type network struct {
	sim    *Sim
	cfg    Network
	stats  NetworkStats
	silent map[pair]core.Instant
	cut    map[core.Domain]bool
}

func newNetwork(s *Sim, cfg Network) network {
	return network{sim: s, cfg: cfg, silent: map[pair]core.Instant{}, cut: map[core.Domain]bool{}}
}

// NetworkStats returns the counts of the network.
func (s *Sim) NetworkStats() NetworkStats { return s.net.stats }

// SetLoss changes the probabilities of loss, duplication and delay.
func (s *Sim) SetLoss(loss, duplicate, delay float64) {
	s.net.cfg.Loss = loss
	s.net.cfg.Duplicate = duplicate
	s.net.cfg.Delay = delay
}

// PartitionDomain parts a failure domain from all others and from the key-value
// service until HealDomain.
func (s *Sim) PartitionDomain(d core.Domain) { s.net.cut[d] = true }

// HealDomain ends a cut.
func (s *Sim) HealDomain(d core.Domain) {
	delete(s.net.cut, d)
	s.Store.healed()
}

// BlackholeConnection makes the open connection between two VMs swallow all messages until
// its ends have noticed and opened another one.
func (s *Sim) BlackholeConnection(a, b *Node, noticed core.Duration) {
	if a == b {
		return
	}
	s.net.silent[pairOf(a, b)] = s.now.Add(noticed)
}

// BlackholeAllConnections silences every connection between live nodes; each pair of ends
// notices after a time of its own, up to the given one.
func (s *Sim) BlackholeAllConnections(noticed core.Duration) {
	for i, a := range s.order {
		for _, b := range s.order[i+1:] {
			if a.up && b.up {
				s.BlackholeConnection(a, b, noticed/2+s.rng.Int64N(noticed/2+1))
			}
		}
	}
}

// reachable reports whether a message from a can arrive at b now.
func (w *network) reachable(a, b *Node) bool {
	if a == b {
		return true
	}
	if w.parted(a, b) {
		w.stats.Partitioned++
		return false
	}
	if len(w.silent) == 0 {
		return true
	}
	p := pairOf(a, b)
	until, ok := w.silent[p]
	if !ok {
		return true
	}
	if w.sim.now >= until {
		delete(w.silent, p)
		return true
	}
	w.stats.Blackholed++
	return false
}

func (w *network) parted(a, b *Node) bool {
	if len(w.cut) == 0 || a.domain == b.domain {
		return false
	}
	return w.cut[a.domain] || w.cut[b.domain]
}

func (w *network) latency(a, b *Node) core.Duration {
	base := w.cfg.Remote
	if a.domain == b.domain {
		base = w.cfg.Local
	}
	return base + w.sim.rng.Int64N(w.cfg.Jitter)
}

// chance draws an event of probability p.
func (w *network) chance(p float64) bool { return p > 0 && w.sim.rng.Float64() < p }

// send passes a message on, once, twice, late or never.
func (w *network) send(from *Node, e core.Send) {
	to := w.sim.nodes[e.To.VM]
	w.stats.Sent++
	if to == nil || to.gone {
		return
	}
	if from != to && !w.reachable(from, to) {
		return
	}
	if from != to && w.chance(w.cfg.Loss) {
		w.stats.Lost++
		return
	}
	w.carry(from, to, e)
	if from != to && w.chance(w.cfg.Duplicate) {
		w.stats.Duplicated++
		w.carry(from, to, e)
	}
}

// carry schedules one copy of a message. A zero incarnation addresses
// whichever life is up.
func (w *network) carry(from, to *Node, e core.Send) {
	delay := w.latency(from, to)
	if from != to && w.chance(w.cfg.Delay) {
		w.stats.Delayed++
		delay += w.sim.rng.Int64N(w.cfg.MaxDelay)
	}
	life := e.To.Inc
	if life == 0 {
		life = to.id.Inc
	}
	if life != to.id.Inc || !to.up {
		w.stats.Stale++
		return
	}
	ev := core.Recv{From: from.id, Msg: e.Msg}
	w.sim.schedule(item{at: w.sim.now.Add(delay), node: to, life: life, ev: ev})
}

// latencyTo is the latency to a VM that may be unknown.
func (w *network) latencyTo(a *Node, vm core.VM) core.Duration {
	b := w.sim.nodes[vm]
	if b == nil {
		return w.cfg.Remote
	}
	return w.latency(a, b)
}
