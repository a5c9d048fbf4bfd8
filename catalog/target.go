package catalog

import (
	"cmp"
	"slices"
	"time"
)

// TargetKey identifies one life of a target. A target may start again under its
// old id; it then has another start time and knows nothing of before.
type TargetKey struct {
	ID      string
	Started int64
}

// Target is one target as it describes itself.
type Target struct {
	TargetKey
	Service string
	// Addr is the IP address and port of the target.
	Addr   string
	Domain string
	Slots  int
	// Draining targets take no new work.
	Draining bool
}

// returnTime is how long a target whose entry lapsed in an outage of the store
// may take to register again after the store's return. The users' letter names
// about two seconds.
const returnTime = 2500 * time.Millisecond

// Registry follows the targets' entries in the platform's store through its
// outages: an entry that lapsed while the store was disturbed goes on counting
// until its target has had time to register again. It is not safe for concurrent
// use.
type Registry struct {
	targets map[string]Target
	// lapsed holds when a missing entry's target is to be taken as gone.
	lapsed map[string]time.Time
	// disturbedUntil is the end of the time in which a missing entry may be due
	// to the store.
	disturbedUntil time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: make(map[string]Target), lapsed: make(map[string]time.Time)}
}

// Put records a target's entry.
func (r *Registry) Put(t Target) {
	r.targets[t.ID] = t
	delete(r.lapsed, t.ID)
}

// Remove records that a target's entry is gone from the store.
func (r *Registry) Remove(id string, now time.Time) {
	if _, known := r.targets[id]; !known {
		return
	}
	if now.Before(r.disturbedUntil) {
		if _, already := r.lapsed[id]; !already {
			r.lapsed[id] = r.disturbedUntil
		}
		return
	}
	delete(r.targets, id)
	delete(r.lapsed, id)
}

// Replace takes a full listing of the store.
func (r *Registry) Replace(all []Target, now time.Time) {
	listed := make(map[string]bool, len(all))
	for _, t := range all {
		listed[t.ID] = true
		r.Put(t)
	}
	for id := range r.targets {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// RecordOutage records that the store failed to answer at now. Entries that are
// found missing soon after may still come back.
func (r *Registry) RecordOutage(now time.Time) {
	r.disturbedUntil = now.Add(returnTime)
	for id := range r.lapsed {
		r.lapsed[id] = r.disturbedUntil
	}
}

// Expire drops the targets whose time to register again is over and reports
// whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, end := range r.lapsed {
		if !now.Before(end) {
			delete(r.lapsed, id)
			delete(r.targets, id)
			changed = true
		}
	}
	return changed
}

// Targets returns the targets that count, in the order of their ids.
func (r *Registry) Targets() []Target {
	all := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
