package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/place"
)

// target is this entry's possibly stale view of a sidecar and its target: the
// last load report and what this entry has dispatched since.
type target struct {
	node    core.Node
	pool    core.Pool
	domain  core.Domain
	load    core.Load
	leaving bool
	// reports counts the load reports of this incarnation.
	reports           uint64
	reportedAt        core.Instant
	callsSinceReport  uint32
	tokensSinceReport uint64
	// subscribedAt is when the subscription to load reports was last renewed.
	subscribedAt core.Instant
	// score is the target's weight in this entry's rendezvous order. inSubset is
	// set if the target is among the first of its pool in that order.
	score    uint64
	inSubset bool
	// usedAt is when a program of this entry last used the target.
	usedAt core.Instant
}

type targets struct {
	self core.VM
	// subsetLimit is the number of targets of each pool in the subset.
	subsetLimit int
	byVM        map[core.VM]*target
	// list holds the targets by VM, and subscribed those from which this entry
	// requests load reports.
	list       []*target
	subscribed []*target
	// stale is set if the lists must be rebuilt. refreshedAt is when subscribed
	// was last rebuilt.
	stale       bool
	refreshedAt core.Instant
}

func newTargets(self core.VM) targets {
	return targets{self: self, subsetLimit: subsetTargets, byVM: map[core.VM]*target{}}
}

// applyVM adds or updates the target of a sidecar's VM in the fetched VM list.
func (ts *targets) applyVM(vm core.VMInfo) {
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

// isLeaving reports whether a target is known to be leaving or draining.
func (ts *targets) isLeaving(n core.Node) bool {
	t := ts.byVM[n.VM]
	return t != nil && (t.leaving || t.node == n && t.load.Draining)
}

// refresh rebuilds the lists after a target was added, removed or changed, and
// every subscribeInterval to drop targets that no program uses any more.
func (ts *targets) refresh(now core.Instant) {
	if !ts.stale && now.Sub(ts.refreshedAt) < subscribeInterval {
		return
	}
	if ts.stale {
		ts.list = slices.SortedFunc(maps.Values(ts.byVM), func(a, b *target) int {
			return cmp.Compare(a.node.VM, b.node.VM)
		})
		ts.selectSubset()
	}
	ts.selectSubscribed(now)
	ts.stale = false
	ts.refreshedAt = now
}

// tickTargets renews the subscriptions to load reports. If a target's report is
// late, its subscription is renewed more often: the target may have restarted,
// which ends its subscriptions and the calls that it was executing.
func (e *Entry) tickTargets() {
	e.targets.refresh(e.now)
	for _, t := range e.targets.subscribed {
		interval := subscribeInterval
		if e.now.Sub(t.reportedAt) >= reportLateAfter {
			interval = min(interval, e.times.heartbeat)
		}
		if t.subscribedAt > 0 && e.now.Sub(t.subscribedAt) < interval {
			continue
		}
		t.subscribedAt = e.now
		e.send(core.Node{VM: t.node.VM}, core.Hello{})
	}
}

// recordLoad replaces the view of a target. The report is assumed to include
// everything dispatched before it arrived.
func (e *Entry) recordLoad(from core.Node, load core.Load) {
	t := e.targets.byVM[from.VM]
	if t == nil || load.Pool == "" {
		return
	}
	if t.node != from {
		*t = target{
			node: from, pool: t.pool, leaving: t.leaving, subscribedAt: t.subscribedAt,
			score: t.score, inSubset: t.inSubset, usedAt: t.usedAt,
		}
	}
	e.targets.stale = e.targets.stale || t.pool != load.Pool
	t.pool = load.Pool
	t.domain = load.Domain
	t.load = load
	t.reports++
	t.reportedAt = e.now
	t.callsSinceReport = 0
	t.tokensSinceReport = 0
}

// isUsable reports whether a target may get new calls of a pool.
func (e *Entry) isUsable(t *target, pool core.Pool) bool {
	return t.pool == pool && t.reports > 0 && !t.leaving && !t.load.Draining &&
		e.now.Sub(t.reportedAt) < reportStaleAfter && !e.members.confirmedDead(t.node)
}

// usableTargets returns the usable targets of a pool by VM.
func (e *Entry) usableTargets(pool core.Pool) []*target {
	var ts []*target
	e.targets.refresh(e.now)
	for _, t := range e.targets.subscribed {
		if e.isUsable(t, pool) {
			ts = append(ts, t)
		}
	}
	return ts
}

// countDispatch adds a dispatched call to the view of its target.
func (e *Entry) countDispatch(t *target, c *openCall) {
	c.reportCount = t.reports
	c.tokens = c.call.Cost()
	t.callsSinceReport++
	t.tokensSinceReport += c.tokens
}

// uncountDispatch removes an ended call from the view of its target, unless a
// load report has arrived since the dispatch.
func (e *Entry) uncountDispatch(c *openCall) {
	t := e.targets.byVM[c.target.VM]
	if t == nil || t.node != c.target || t.reports != c.reportCount || t.callsSinceReport == 0 {
		return
	}
	t.callsSinceReport--
	t.tokensSinceReport -= min(t.tokensSinceReport, c.tokens)
}

// chooseTarget picks a target for a call by the pool's placement policy and
// returns it with the policy's cost estimate. It returns nil if no target is
// usable.
func (e *Entry) chooseTarget(s *slot, c *openCall) (*target, core.Duration) {
	ts := e.usableTargets(c.call.Pool)
	if len(ts) == 0 {
		return nil, 0
	}
	views := make([]place.Target, len(ts))
	for i, t := range ts {
		views[i] = place.Target{
			Node:              t.node,
			Load:              t.load,
			CallsSinceReport:  t.callsSinceReport,
			TokensSinceReport: t.tokensSinceReport,
			SameDomain:        t.domain == e.domain,
		}
	}
	req := place.Request{
		Program:      c.program,
		PromptTokens: c.call.PromptTokens(),
		MaxTokens:    c.call.MaxTokens,
		Blocks:       c.call.Blocks,
	}
	if p := s.snapshot.programs[c.program]; p != nil {
		req.LastTarget = p.LastTarget
		req.LastTokens = historyTokens(p, c.call)
	}
	i, cost := e.placement(c.call.Pool).Choose(req, views, e.rng)
	return ts[i], cost
}

// placement returns the placement policy of a pool. An unknown policy name
// selects the default policy. Validation rejects configurations with such a
// name.
func (e *Entry) placement(name core.Pool) place.Policy {
	if p := e.placements[name]; p != nil {
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
	e.placements[name] = p
	return p
}
