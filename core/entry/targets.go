package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/place"
)

// target is the weak view of a sidecar and its target: the last load report
// and what this entry has dispatched since.
type target struct {
	node    core.Node
	pool    core.Pool
	domain  core.Domain
	load    core.Load
	leaving bool
	// reports counts the load reports of this life.
	reports    uint64
	reportedAt core.Instant
	ownCalls   uint32
	ownTokens  uint64
	// helloAt is when the subscription was last renewed.
	helloAt core.Instant
	// score is the target's weight in this entry's rendezvous order; chosen says
	// that it is among the first of its pool.
	score  uint64
	chosen bool
	// usedAt is when a program of this entry last used the target.
	usedAt core.Instant
}

type targets struct {
	self core.VM
	// limit is the number of targets of a pool that are chosen.
	limit int
	byVM  map[core.VM]*target
	// list holds the targets by VM, and known those that this entry listens to.
	list  []*target
	known []*target
	// stale says that the lists are to be rebuilt; knownAt is when known was.
	stale   bool
	knownAt core.Instant
}

func newTargets(self core.VM) targets {
	return targets{self: self, limit: subsetTargets, byVM: map[core.VM]*target{}}
}

// listed takes in a sidecar's VM of the platform's list.
func (ts *targets) listed(vm core.VMInfo) {
	t := ts.byVM[vm.VM]
	if t == nil {
		t = &target{node: core.Node{VM: vm.VM}, score: targetScore(ts.self, vm.VM)}
		ts.byVM[vm.VM] = t
		ts.stale = true
	}
	ts.stale = ts.stale || t.pool != vm.Pool
	t.pool = vm.Pool
	t.domain = vm.Domain
	t.leaving = vm.Leaving
}

func (ts *targets) remove(vm core.VM) {
	delete(ts.byVM, vm)
	ts.stale = true
}

// leaving reports whether a target is known to leave or to drain.
func (ts *targets) leaving(n core.Node) bool {
	t := ts.byVM[n.VM]
	return t != nil && (t.leaving || t.node == n && t.load.Draining)
}

// refresh rebuilds the lists after a target came or went, and from time to time
// to leave out those that no program uses any more.
func (ts *targets) refresh(now core.Instant) {
	if !ts.stale && now.Sub(ts.knownAt) < helloPeriod {
		return
	}
	if ts.stale {
		ts.list = slices.SortedFunc(maps.Values(ts.byVM), func(a, b *target) int {
			return cmp.Compare(a.node.VM, b.node.VM)
		})
		ts.selectSubset()
	}
	ts.selectKnown(now)
	ts.stale = false
	ts.knownAt = now
}

// tickTargets renews the subscriptions to load reports. A target that is late
// with its report is asked more often: it may have restarted, which ends the
// calls that it had.
func (e *Entry) tickTargets() {
	e.targets.refresh(e.now)
	for _, t := range e.targets.known {
		period := helloPeriod
		if e.now.Sub(t.reportedAt) >= reportLate {
			period = min(period, e.times.heartbeat)
		}
		if t.helloAt > 0 && e.now.Sub(t.helloAt) < period {
			continue
		}
		t.helloAt = e.now
		e.send(core.Node{VM: t.node.VM}, core.Hello{})
	}
}

// loadReport replaces the view of a target. What was dispatched before the
// report is taken to be part of it.
func (e *Entry) loadReport(from core.Node, load core.Load) {
	t := e.targets.byVM[from.VM]
	if t == nil || load.Pool == "" {
		return
	}
	if t.node != from {
		*t = target{
			node: from, pool: t.pool, leaving: t.leaving, helloAt: t.helloAt,
			score: t.score, chosen: t.chosen, usedAt: t.usedAt,
		}
	}
	e.targets.stale = e.targets.stale || t.pool != load.Pool
	t.pool = load.Pool
	t.domain = load.Domain
	t.load = load
	t.reports++
	t.reportedAt = e.now
	t.ownCalls = 0
	t.ownTokens = 0
}

// usable reports whether a target may get new calls of a pool.
func (e *Entry) usable(t *target, pool core.Pool) bool {
	return t.pool == pool && t.reports > 0 && !t.leaving && !t.load.Draining &&
		e.now.Sub(t.reportedAt) < targetSilence && !e.members.dead(t.node)
}

// pool returns the usable targets of a pool by VM.
func (e *Entry) pool(pool core.Pool) []*target {
	var ts []*target
	e.targets.refresh(e.now)
	for _, t := range e.targets.known {
		if e.usable(t, pool) {
			ts = append(ts, t)
		}
	}
	return ts
}

// noteDispatch adds a dispatch to the view.
func (e *Entry) noteDispatch(t *target, c *openCall) {
	c.reported = t.reports
	c.tokens = c.body.Cost()
	t.ownCalls++
	t.ownTokens += c.tokens
}

// noteEnd takes an ended call off the view unless a report came since.
func (e *Entry) noteEnd(c *openCall) {
	t := e.targets.byVM[c.target.VM]
	if t == nil || t.node != c.target || t.reports != c.reported || t.ownCalls == 0 {
		return
	}
	t.ownCalls--
	t.ownTokens -= min(t.ownTokens, c.tokens)
}

// choose picks a target for a call by the pool's placement policy.
func (e *Entry) choose(s *slot, c *openCall) (*target, core.Duration) {
	ts := e.pool(c.body.Pool)
	if len(ts) == 0 {
		return nil, 0
	}
	views := make([]place.Target, len(ts))
	for i, t := range ts {
		views[i] = place.Target{
			Node:      t.node,
			Load:      t.load,
			OwnCalls:  t.ownCalls,
			OwnTokens: t.ownTokens,
			Local:     t.domain == e.domain,
		}
	}
	req := place.Request{
		Program:      c.program,
		PromptTokens: c.body.PromptTokens(),
		MaxTokens:    c.body.MaxTokens,
		Blocks:       c.body.Blocks,
	}
	if p := s.image.programs[c.program]; p != nil {
		req.LastTarget = p.LastTarget
		req.LastTokens = historyTokens(p, c.body)
	}
	i, cost := e.placement(c.body.Pool).Choose(req, views, e.rng)
	return ts[i], cost
}

// placement returns the placement policy of a pool. The configuration was
// checked when it was applied, so an unknown name means the default.
func (e *Entry) placement(name core.Pool) place.Policy {
	if p := e.places[name]; p != nil {
		return p
	}
	var cfg config.Policy
	if pool := e.set.Pool(string(name)); pool != nil {
		cfg = pool.Policy
	}
	p, err := place.New(cfg.Placement, cfg)
	if err != nil {
		p, _ = place.New("", cfg)
	}
	e.places[name] = p
	return p
}
