package sim

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// StoreTimes sets the key-value service's latency and timeout.
type StoreTimes struct {
	// Latency is the minimum one-way latency to the service; the maximum is twice
	// as long. An operation without a response is reported as failed after
	// Timeout.
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
	sim         *Sim
	times       StoreTimes
	keys        map[string]core.StoreRecord
	revision    int64
	stats       StoreStats
	unavailable bool
	extraDelay  core.Duration
	// responseLoss is the probability that the response to a compare-and-swap that
	// took effect is lost.
	responseLoss float64
	cursors      map[*Node]int64
	// OnSwap is called after each successful compare-and-swap with the key and
	// its old and new records.
	OnSwap func(key string, old, new core.StoreRecord)
	// OnOperation is called with every operation when it is applied. requester may
	// have been killed or restarted since it sent the operation.
	OnOperation func(requester core.Node, e core.Effect, result core.StoreResult)
}

func newStore(s *Sim, times StoreTimes) *Store {
	return &Store{sim: s, times: times, keys: map[string]core.StoreRecord{}, cursors: map[*Node]int64{}}
}

// Stats returns the counts of operations and faults.
func (st *Store) Stats() StoreStats { return st.stats }

// SetDown starts or ends an outage of the service.
func (st *Store) SetDown(down bool) {
	st.unavailable = down
	st.resumeWatches()
}

// SetSlow adds a random delay, up to d, to the request and to the response of
// each operation.
func (st *Store) SetSlow(d core.Duration) { st.extraDelay = d }

// SetResponseLoss sets the probability that the response to a compare-and-swap is
// lost after it took effect.
func (st *Store) SetResponseLoss(p float64) { st.responseLoss = p }

// Get returns the current value and revision of a key.
func (st *Store) Get(key string) core.StoreRecord {
	e, ok := st.keys[key]
	if !ok {
		return core.StoreRecord{Key: key}
	}
	return e
}

// Keys returns the sorted keys that begin with a prefix.
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

func (st *Store) reachable(n *Node) bool { return !st.unavailable && !st.sim.net.partitioned[n.domain] }

func (st *Store) delay() core.Duration {
	d := st.times.Latency + st.sim.rng.Int64N(st.times.Latency)
	if st.extraDelay > 0 {
		st.stats.Slow++
		d += st.sim.rng.Int64N(st.extraDelay)
	}
	return d
}

// operate sends an operation to the service, applies it there and sends the
// result back. It fails if the service is unreachable when the operation is sent
// or arrives, if the response is lost, or if the operation takes longer than the
// timeout.
func (st *Store) operate(n *Node, op uint64, apply func() core.StoreResult, responseLost func() bool) {
	incarnation := n.id.Inc
	outbound, inbound := st.delay(), st.delay()
	if !st.reachable(n) {
		st.failOperation(n, incarnation, op, st.times.Timeout)
		return
	}
	st.sim.After(outbound, func() {
		if !st.reachable(n) {
			st.failOperation(n, incarnation, op, st.times.Timeout-outbound)
			return
		}
		res := apply()
		if responseLost() || outbound+inbound > st.times.Timeout {
			st.failOperation(n, incarnation, op, st.times.Timeout-outbound)
			return
		}
		st.sim.schedule(item{at: st.sim.now.Add(inbound), node: n, incarnation: incarnation, ev: res})
	})
}

func (st *Store) failOperation(n *Node, incarnation core.Incarnation, op uint64, after core.Duration) {
	st.stats.Failed++
	ev := core.StoreResult{Op: op, Err: true}
	st.sim.schedule(item{at: st.sim.now.Add(max(after, 0)), node: n, incarnation: incarnation, ev: ev})
}

func neverLost() bool { return false }

func (st *Store) get(n *Node, e core.StoreGet) {
	requester := n.id
	st.operate(n, e.Op, func() core.StoreResult {
		st.stats.Reads++
		res := core.StoreResult{Op: e.Op, Records: []core.StoreRecord{st.Get(e.Key)}}
		st.reportOperation(requester, e, res)
		return res
	}, neverLost)
}

func (st *Store) scan(n *Node, e core.StoreRange) {
	requester := n.id
	st.operate(n, e.Op, func() core.StoreResult {
		st.stats.Reads++
		res := core.StoreResult{Op: e.Op}
		for _, k := range st.Keys(e.Prefix) {
			res.Records = append(res.Records, st.keys[k])
		}
		st.reportOperation(requester, e, res)
		return res
	}, neverLost)
}

func (st *Store) compareAndSwap(n *Node, e core.StoreCompareAndSwap) {
	requester := n.id
	responseLost := func() bool {
		if st.responseLoss == 0 || st.sim.rng.Float64() >= st.responseLoss {
			return false
		}
		st.stats.LostResponses++
		return true
	}
	st.operate(n, e.Op, func() core.StoreResult {
		res := st.CompareAndSwap(e.Op, e.Key, e.Revision, e.Value)
		st.reportOperation(requester, e, res)
		return res
	}, responseLost)
}

func (st *Store) reportOperation(requester core.Node, e core.Effect, res core.StoreResult) {
	if st.OnOperation != nil {
		st.OnOperation(requester, e, res)
	}
}

// CompareAndSwap applies a compare-and-swap at once and returns its result. If
// the revision doesn't match, the result contains the current record.
func (st *Store) CompareAndSwap(op uint64, key string, revision int64, value []byte) core.StoreResult {
	st.stats.Swaps++
	old := st.Get(key)
	if old.Revision != revision {
		return core.StoreResult{Op: op, Records: []core.StoreRecord{old}}
	}
	st.revision++
	record := core.StoreRecord{Key: key, Value: slices.Clone(value), Revision: st.revision}
	st.keys[key] = record
	if st.OnSwap != nil {
		st.OnSwap(key, old, record)
	}
	st.notifyWatchers()
	return core.StoreResult{Op: op, Swapped: true, Records: []core.StoreRecord{record}}
}

// startWatch starts the watch of a newly started entry on the slot assignments.
func (st *Store) startWatch(n *Node) {
	if n.role == core.RoleEntry {
		st.cursors[n] = st.revision
	}
}

func (st *Store) resumeWatches() {
	if !st.unavailable {
		st.notifyWatchers()
	}
}

func (st *Store) notifyWatchers() {
	for _, n := range st.sim.nodeOrder {
		if n.role == core.RoleEntry && n.running {
			st.notifyWatcher(n)
		}
	}
}

// notifyWatcher sends a watcher the slot assignments that changed since its
// cursor, the revision up to which it was last notified.
func (st *Store) notifyWatcher(n *Node) {
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
	st.sim.schedule(item{at: st.sim.now.Add(st.delay()), node: n, incarnation: n.id.Inc, ev: ev})
}

// addToDigest adds all keys, revisions and values to the digest of the
// simulation.
func (st *Store) addToDigest() {
	for _, k := range st.Keys("") {
		e := st.keys[k]
		st.sim.AddToDigest(xxhash.Sum64String(k), uint64(e.Revision), xxhash.Sum64(e.Value))
	}
}
