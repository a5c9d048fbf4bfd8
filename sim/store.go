package sim

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// StoreTimes sets the key-value service's times.
type StoreTimes struct {
	// Latency is the time of one way to the service, and Timeout the time after
	// which a shell gives an operation up.
	Latency core.Duration
	Timeout core.Duration
}

func (t StoreTimes) withDefaults() StoreTimes {
	if t.Latency == 0 {
		t.Latency = 2 * core.Millisecond
	}
	if t.Timeout == 0 {
		t.Timeout = 2 * core.Second
	}
	return t
}

// StoreStats counts operations and faults of the key-value service.
type StoreStats struct {
	Reads, Swaps, Failed, LostResponses, Slow uint64
}

// Store is the fake key-value service.
type Store struct {
	sim      *Sim
	times    StoreTimes
	keys     map[string]core.StoreRecord
	revision int64
	stats    StoreStats
	down     bool
	slow     core.Duration
	// lose is the probability that a swap takes effect and its answer is lost.
	lose    float64
	cursors map[*Node]int64
	// OnSwap sees every swap that was applied.
	OnSwap func(key string, old, new core.StoreRecord)
	// OnOperation sees every operation at the instant it is applied, with the life that
	// asked for it, which may have ended since.
	OnOperation func(life core.Node, e core.Effect, result core.StoreResult)
}

func newStore(s *Sim, times StoreTimes) *Store {
	return &Store{sim: s, times: times, keys: map[string]core.StoreRecord{}, cursors: map[*Node]int64{}}
}

// Stats returns the counts of operations and faults.
func (st *Store) Stats() StoreStats { return st.stats }

// SetDown starts or ends an outage.
func (st *Store) SetDown(down bool) {
	st.down = down
	st.healed()
}

// SetSlow adds a delay to each operation.
func (st *Store) SetSlow(d core.Duration) { st.slow = d }

// SetResponseLoss sets the probability that a swap's answer is lost after the
// swap took effect.
func (st *Store) SetResponseLoss(p float64) { st.lose = p }

// Get returns a key as the service holds it.
func (st *Store) Get(key string) core.StoreRecord {
	e, ok := st.keys[key]
	if !ok {
		return core.StoreRecord{Key: key}
	}
	return e
}

// Keys returns the keys with a prefix in order.
func (st *Store) Keys(prefix string) []string {
	var keys []string
	for k := range st.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (st *Store) reachable(n *Node) bool { return !st.down && !st.sim.net.cut[n.domain] }

func (st *Store) delay() core.Duration {
	d := st.times.Latency + st.sim.rng.Int64N(st.times.Latency)
	if st.slow > 0 {
		st.stats.Slow++
		d += st.sim.rng.Int64N(st.slow)
	}
	return d
}

// operate carries an operation to the service, applies it there and carries
// the result back, unless the service is down at either instant or the shell
// gives up first.
func (st *Store) operate(n *Node, op uint64, apply func() core.StoreResult, lost func() bool) {
	life := n.id.Inc
	there, back := st.delay(), st.delay()
	if !st.reachable(n) {
		st.fail(n, life, op, st.times.Timeout)
		return
	}
	st.sim.After(there, func() {
		if !st.reachable(n) {
			st.fail(n, life, op, st.times.Timeout-there)
			return
		}
		res := apply()
		if lost() || there+back > st.times.Timeout {
			st.fail(n, life, op, st.times.Timeout-there)
			return
		}
		st.sim.schedule(item{at: st.sim.now.Add(back), node: n, life: life, ev: res})
	})
}

func (st *Store) fail(n *Node, life core.Incarnation, op uint64, after core.Duration) {
	st.stats.Failed++
	ev := core.StoreResult{Op: op, Err: true}
	st.sim.schedule(item{at: st.sim.now.Add(max(after, 0)), node: n, life: life, ev: ev})
}

func never() bool { return false }

func (st *Store) get(n *Node, e core.StoreGet) {
	life := n.id
	st.operate(n, e.Op, func() core.StoreResult {
		st.stats.Reads++
		res := core.StoreResult{Op: e.Op, Records: []core.StoreRecord{st.Get(e.Key)}}
		st.seen(life, e, res)
		return res
	}, never)
}

func (st *Store) scan(n *Node, e core.StoreRange) {
	life := n.id
	st.operate(n, e.Op, func() core.StoreResult {
		st.stats.Reads++
		res := core.StoreResult{Op: e.Op}
		for _, k := range st.Keys(e.Prefix) {
			res.Records = append(res.Records, st.keys[k])
		}
		st.seen(life, e, res)
		return res
	}, never)
}

func (st *Store) swap(n *Node, e core.StoreCompareAndSwap) {
	life := n.id
	lost := func() bool {
		if st.lose == 0 || st.sim.rng.Float64() >= st.lose {
			return false
		}
		st.stats.LostResponses++
		return true
	}
	st.operate(n, e.Op, func() core.StoreResult {
		res := st.CompareAndSwap(e.Op, e.Key, e.Revision, e.Value)
		st.seen(life, e, res)
		return res
	}, lost)
}

func (st *Store) seen(life core.Node, e core.Effect, res core.StoreResult) {
	if st.OnOperation != nil {
		st.OnOperation(life, e, res)
	}
}

// CompareAndSwap applies a compare-and-swap at once and returns its result; a failed
// swap returns the present entry.
func (st *Store) CompareAndSwap(op uint64, key string, revision int64, value []byte) core.StoreResult {
	st.stats.Swaps++
	old := st.Get(key)
	if old.Revision != revision {
		return core.StoreResult{Op: op, Records: []core.StoreRecord{old}}
	}
	st.revision++
	entry := core.StoreRecord{Key: key, Value: slices.Clone(value), Revision: st.revision}
	st.keys[key] = entry
	if st.OnSwap != nil {
		st.OnSwap(key, old, entry)
	}
	st.notifyAll()
	return core.StoreResult{Op: op, Swapped: true, Records: []core.StoreRecord{entry}}
}

// attach starts the watch of a new life of an entry on the slot owners.
func (st *Store) attach(n *Node) {
	if n.role == core.RoleEntry {
		st.cursors[n] = st.revision
	}
}

func (st *Store) healed() {
	if !st.down {
		st.notifyAll()
	}
}

func (st *Store) notifyAll() {
	for _, n := range st.sim.order {
		if n.role == core.RoleEntry && n.up {
			st.notify(n)
		}
	}
}

// notify sends a watcher the slot owners that changed since its cursor.
func (st *Store) notify(n *Node) {
	if !st.reachable(n) || st.cursors[n] == st.revision {
		return
	}
	var changed []core.StoreRecord
	for _, e := range st.keys {
		if e.Revision > st.cursors[n] && strings.HasPrefix(e.Key, core.SlotPrefix) {
			changed = append(changed, e)
		}
	}
	st.cursors[n] = st.revision
	if len(changed) == 0 {
		return
	}
	slices.SortFunc(changed, func(a, b core.StoreRecord) int { return int(a.Revision - b.Revision) })
	ev := core.StoreWatch{Records: changed}
	st.sim.schedule(item{at: st.sim.now.Add(st.delay()), node: n, life: n.id.Inc, ev: ev})
}

// fold adds the content to the digest of the run.
func (st *Store) fold() {
	for _, k := range st.Keys("") {
		e := st.keys[k]
		st.sim.AddToDigest(xxhash.Sum64String(k), uint64(e.Revision), xxhash.Sum64(e.Value))
	}
}
