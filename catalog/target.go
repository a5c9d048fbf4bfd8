package catalog

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TargetKey identifies one incarnation of a target. A target that restarts under its
// old id has another start time and an empty cache.
type TargetKey struct {
	ID      string
	Started int64
}

// Hash returns a hash of the key, the same in all processes.
func (k TargetKey) Hash() uint64 {
	return xxhash.Sum64String(k.ID + "\x00" + strconv.FormatInt(k.Started, 10))
}

// Target is a target as registered in the store.
type Target struct {
	TargetKey
	Service string
	// Version is the version of the target's software, or empty.
	Version string
	// Addr is the IP address and port of the target.
	Addr   string
	Domain string
	Slots  int
	// Draining targets accept no new calls.
	Draining bool
	// ColdFor is how long the target was to remain slow after its start when it registered.
	// WarmAt is the end of that time; see SetWarmAt.
	ColdFor time.Duration
	WarmAt  time.Time
}

// Software returns a hash of the target's service and version, the same in all processes. It
// is never 0.
func (t *Target) Software() uint64 {
	return max(xxhash.Sum64String(t.Service+"\x00"+t.Version), 1)
}

// maxRegisterDelay is the longest usual time from a target's start to its registration.
const maxRegisterDelay = time.Second

// SetWarmAt determines when a target whose registration was received at now stops being
// slow. The registration may be old, in which case the target's start decides.
func (t *Target) SetWarmAt(now time.Time) {
	if t.ColdFor <= 0 {
		return
	}
	t.WarmAt = now.Add(t.ColdFor)
	if byStart := time.UnixMilli(t.Started).Add(maxRegisterDelay + t.ColdFor); t.Started > 0 && byStart.Before(t.WarmAt) {
		t.WarmAt = byStart
	}
}

// registerTimeout is how long a target may take to register again after an outage of
// the store during which its registration expired. The platform's users state that
// targets register again within about two seconds.
const registerTimeout = 2500 * time.Millisecond

// Registry tracks the targets' registrations in the platform's store. A registration
// that disappears during or shortly after an outage of the store stays valid until its
// target has had time to register again. It is not safe for concurrent use.
type Registry struct {
	targets map[string]Target
	// expiry maps the id of each target whose registration is missing to the time
	// at which the target is removed.
	expiry map[string]time.Time
	// graceEnd is the end of the grace period in which a registration may be missing
	// because of an outage of the store.
	graceEnd time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: make(map[string]Target), expiry: make(map[string]time.Time)}
}

// Put adds or replaces a target's registration.
func (r *Registry) Put(t Target) {
	r.targets[t.ID] = t
	delete(r.expiry, t.ID)
}

// Remove records that a target's registration was removed from the store. The target is
// removed at once or, during the grace period after an outage of the store, at the end
// of that period.
func (r *Registry) Remove(id string, now time.Time) {
	if _, known := r.targets[id]; !known {
		return
	}
	if now.Before(r.graceEnd) {
		if _, already := r.expiry[id]; !already {
			r.expiry[id] = r.graceEnd
		}
		return
	}
	delete(r.targets, id)
	delete(r.expiry, id)
}

// Replace applies a complete list of the registrations in the store.
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

// RecordOutage records that the store was unavailable at now. Targets whose
// registrations are missing get registerTimeout from now to register again.
func (r *Registry) RecordOutage(now time.Time) {
	r.graceEnd = now.Add(registerTimeout)
	for id := range r.expiry {
		r.expiry[id] = r.graceEnd
	}
}

// Expire removes the targets that have not registered again in time and reports whether
// there were any.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, end := range r.expiry {
		if !now.Before(end) {
			delete(r.expiry, id)
			delete(r.targets, id)
			changed = true
		}
	}
	return changed
}

// Targets returns the registered targets, ordered by id.
func (r *Registry) Targets() []Target {
	all := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
