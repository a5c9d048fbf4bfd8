// Package kv is a stand-in for the platform's key-value service. It speaks
// the part of etcd's v3 JSON API over HTTP that package adapter/etcdjson uses:
// range, put, deleterange, txn, leases and watches.
//
// In addition to the faults of package standin/fault it has rate limits for
// reads and writes, and outages: POST /kv/outage with {"on":true} makes every
// call fail and ends all watches. With the fault "lose_answer" a write takes
// effect and its response is lost. GET /kv/calls returns the number of calls by
// path.
package kv

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/etcdjson"
)

// maxHistory limits the past changes that are stored for new watches.
const maxHistory = 100_000

// database is the content of the service. Methods must be called with mu held.
type database struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]*etcdjson.KeyValue
	// history holds the latest changes in order of their revisions. Changes up to
	// the revision compacted have been dropped.
	history   []etcdjson.Event
	compacted int64
	leases    map[int64]*lease
	nextLease int64
	// changed is closed and replaced after every change.
	changed chan struct{}
}

// lease is a lease and the keys attached to it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]struct{}
}

// newDatabase returns an empty database.
func newDatabase() *database {
	return &database{
		revision:  1,
		keys:      make(map[string]*etcdjson.KeyValue),
		leases:    make(map[int64]*lease),
		nextLease: 1000,
		changed:   make(chan struct{}),
	}
}

// inRange reports whether a key is in a range as etcd defines it: without an end
// only start itself, with the end "\x00" all keys from start on, else the keys
// from start up to but not including end.
func inRange(key, start, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, start)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, start) >= 0
	}
	return bytes.Compare(key, start) >= 0 && bytes.Compare(key, end) < 0
}

// findKeys returns the names of the keys in a range in ascending order.
func (d *database) findKeys(start, end []byte) []string {
	if len(end) == 0 {
		if _, ok := d.keys[string(start)]; ok {
			return []string{string(start)}
		}
		return nil
	}
	var names []string
	for name := range d.keys {
		if inRange([]byte(name), start, end) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// rangeKeys executes a range request.
func (d *database) rangeKeys(r *etcdjson.RangeRequest) *etcdjson.RangeResponse {
	names := d.findKeys(r.Key, r.RangeEnd)
	out := &etcdjson.RangeResponse{Header: d.header(), Count: etcdjson.Int64(len(names))}
	if r.Limit > 0 && len(names) > int(r.Limit) {
		names = names[:r.Limit]
	}
	for _, name := range names {
		out.KVs = append(out.KVs, *d.keys[name])
	}
	return out
}

// header returns the header of a response.
func (d *database) header() etcdjson.Header {
	return etcdjson.Header{Revision: etcdjson.Int64(d.revision)}
}

// putKey writes a key at a revision.
func (d *database) putKey(r *etcdjson.PutRequest, revision int64) {
	name := string(r.Key)
	next := &etcdjson.KeyValue{
		Key:            r.Key,
		CreateRevision: etcdjson.Int64(revision),
		ModRevision:    etcdjson.Int64(revision),
		Version:        1,
		Value:          r.Value,
		Lease:          r.Lease,
	}
	if old := d.keys[name]; old != nil {
		next.CreateRevision = old.CreateRevision
		next.Version = old.Version + 1
		d.detachFromLease(old)
	}
	d.keys[name] = next
	if l := d.leases[int64(r.Lease)]; l != nil {
		l.keys[name] = struct{}{}
	}
	d.appendHistory(etcdjson.Event{KV: *next})
}

// deleteKey deletes a key at a revision.
func (d *database) deleteKey(name string, revision int64) {
	d.detachFromLease(d.keys[name])
	delete(d.keys, name)
	deleted := etcdjson.KeyValue{Key: []byte(name), ModRevision: etcdjson.Int64(revision)}
	d.appendHistory(etcdjson.Event{Type: etcdjson.EventDelete, KV: deleted})
}

// detachFromLease removes a key from its lease, if it has one.
func (d *database) detachFromLease(kv *etcdjson.KeyValue) {
	if l := d.leases[int64(kv.Lease)]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// appendHistory adds a change to the history, and drops the oldest changes if
// there are more than maxHistory.
func (d *database) appendHistory(e etcdjson.Event) {
	d.history = append(d.history, e)
	if extra := len(d.history) - maxHistory; extra > 0 {
		d.compacted = int64(d.history[extra-1].KV.ModRevision)
		d.history = slices.Delete(d.history, 0, extra)
	}
}

// commit sets the current revision and wakes the watches.
func (d *database) commit(revision int64) {
	d.revision = revision
	close(d.changed)
	d.changed = make(chan struct{})
}

// evaluate reports whether a transaction's comparison is true. A key that does
// not exist has zero revisions, version and value.
func (d *database) evaluate(c *etcdjson.Compare) bool {
	kv := d.keys[string(c.Key)]
	if kv == nil {
		kv = &etcdjson.KeyValue{}
	}
	var order int
	switch c.Target {
	case etcdjson.TargetMod:
		order = compare(kv.ModRevision, c.ModRevision)
	case etcdjson.TargetCreate:
		order = compare(kv.CreateRevision, c.CreateRevision)
	case etcdjson.TargetValue:
		order = bytes.Compare(kv.Value, c.Value)
	default:
		order = compare(kv.Version, c.Version)
	}
	switch c.Result {
	case etcdjson.ResultGreater:
		return order > 0
	case etcdjson.ResultLess:
		return order < 0
	case etcdjson.ResultNotEqual:
		return order != 0
	}
	return order == 0
}

// compare returns -1, 0 or 1 if a is below, equal to or above b.
func compare(a, b etcdjson.Int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// transact executes a transaction. All of its writes have the same revision.
func (d *database) transact(t *etcdjson.TxnRequest) *etcdjson.TxnResponse {
	out := &etcdjson.TxnResponse{Succeeded: true}
	for i := range t.Compare {
		out.Succeeded = out.Succeeded && d.evaluate(&t.Compare[i])
	}
	ops := t.Failure
	if out.Succeeded {
		ops = t.Success
	}
	revision := d.revision + 1
	wrote := false
	for i := range ops {
		response, writes := d.apply(&ops[i], revision)
		out.Responses = append(out.Responses, response)
		wrote = wrote || writes
	}
	if wrote {
		d.commit(revision)
	}
	out.Header = d.header()
	return out
}

// apply executes one operation of a transaction and reports whether it wrote.
func (d *database) apply(op *etcdjson.RequestOp, revision int64) (etcdjson.ResponseOp, bool) {
	switch {
	case op.Put != nil:
		d.putKey(op.Put, revision)
		return etcdjson.ResponseOp{Put: &etcdjson.PutResponse{Header: etcdjson.Header{Revision: etcdjson.Int64(revision)}}}, true
	case op.Delete != nil:
		names := d.findKeys(op.Delete.Key, op.Delete.RangeEnd)
		for _, name := range names {
			d.deleteKey(name, revision)
		}
		deleted := etcdjson.Int64(len(names))
		return etcdjson.ResponseOp{Delete: &etcdjson.DeleteResponse{Deleted: deleted}}, len(names) > 0
	case op.Range != nil:
		return etcdjson.ResponseOp{Range: d.rangeKeys(op.Range)}, false
	}
	return etcdjson.ResponseOp{}, false
}

// grantLease creates a lease and returns its ID; the ID zero generates one.
func (d *database) grantLease(id int64, ttl time.Duration) int64 {
	if id == 0 {
		d.nextLease++
		id = d.nextLease
	}
	l := &lease{ttl: ttl, keys: make(map[string]struct{})}
	l.timer = time.AfterFunc(ttl, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.leases[id] == l {
			d.endLease(id)
		}
	})
	d.leases[id] = l
	return id
}

// renewLease restarts a lease's time to live and returns it, or zero if there is
// no such lease.
func (d *database) renewLease(id int64) time.Duration {
	l := d.leases[id]
	if l == nil {
		return 0
	}
	l.timer.Reset(l.ttl)
	return l.ttl
}

// endLease ends a lease and deletes its keys. It returns false if there is no
// such lease.
func (d *database) endLease(id int64) bool {
	l := d.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	names := slices.Sorted(maps.Keys(l.keys))
	delete(d.leases, id)
	for _, name := range names {
		d.deleteKey(name, d.revision+1)
	}
	if len(names) > 0 {
		d.commit(d.revision + 1)
	}
	return true
}

// changesSince returns the changes in a range from a revision on.
func (d *database) changesSince(start, end []byte, from int64) []etcdjson.Event {
	first, _ := slices.BinarySearchFunc(d.history, from, func(e etcdjson.Event, r int64) int {
		return compare(e.KV.ModRevision, etcdjson.Int64(r))
	})
	var out []etcdjson.Event
	for _, e := range d.history[first:] {
		if inRange(e.KV.Key, start, end) {
			out = append(out, e)
		}
	}
	return out
}
