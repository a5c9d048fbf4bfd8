package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

func target(id string) catalog.Target {
	return catalog.Target{TargetKey: catalog.TargetKey{ID: id}, Service: "s", Addr: "10.0.0.1:1"}
}

func ids(r *catalog.Registry) []string {
	var all []string
	for _, t := range r.Targets() {
		all = append(all, t.ID)
	}
	return all
}

func TestRemovedTargetDisappearsAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	r := catalog.NewRegistry()
	r.Put(target("a"))
	r.Put(target("b"))
	r.Remove("a", now)
	r.Remove("unknown", now)
	assert.Equal(t, []string{"b"}, ids(r))
}

// Registrations expire while the store is unavailable, and targets register again within
// about two seconds of its recovery. Until then they must not be removed.
func TestExpiredTargetsRemainUntilGracePeriodEnds(t *testing.T) {
	now := time.Unix(0, 0)
	r := catalog.NewRegistry()
	r.Put(target("a"))
	r.Put(target("b"))
	r.RecordOutage(now)
	r.RecordOutage(now.Add(4 * time.Second))
	recovered := now.Add(5 * time.Second)
	r.Replace(nil, recovered)
	assert.Equal(t, []string{"a", "b"}, ids(r))
	r.Put(target("a"))
	assert.False(t, r.Expire(recovered.Add(time.Second)))
	assert.True(t, r.Expire(recovered.Add(2*time.Second)))
	assert.Equal(t, []string{"a"}, ids(r))
}

func TestReplaceRemovesUnlistedTargets(t *testing.T) {
	now := time.Unix(0, 0)
	r := catalog.NewRegistry()
	r.Put(target("a"))
	r.Replace([]catalog.Target{target("b")}, now)
	assert.Equal(t, []string{"b"}, ids(r))
}

func TestServiceForFollowsWeights(t *testing.T) {
	route := catalog.Route{Shares: []catalog.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.ServiceFor(float64(i)/1000)]++
	}
	assert.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	assert.Empty(t, (&catalog.Route{}).ServiceFor(0.5))
}

func TestTargetIsWarmAfterItsColdTimeAlsoIfItsRegistrationIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := catalog.Target{TargetKey: catalog.TargetKey{Started: now.UnixMilli()}, ColdFor: 3 * time.Second}
	fresh.SetWarmAt(now)
	assert.Equal(t, now.Add(3*time.Second), fresh.WarmAt)
	fresh.SetWarmAt(now.Add(time.Minute))
	assert.True(t, fresh.WarmAt.Before(now.Add(time.Minute)), "the start decides")
	var warm catalog.Target
	warm.SetWarmAt(now)
	assert.Zero(t, warm.WarmAt)
}
