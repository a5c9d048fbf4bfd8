package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/quarantine"
)

var (
	start    = time.Unix(1000, 0)
	request  = quarantine.Subject{ID: 7}
	resource = quarantine.Subject{ID: 8, IsResource: true}
)

func at(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }

func late(target uint64, second int) quarantine.Crash {
	return quarantine.Crash{Target: target, At: at(second)}
}

func early(target uint64, second int) quarantine.Crash {
	return quarantine.Crash{Target: target, At: at(second), BeforeFirstEvent: true}
}

// Each crash of an engine ends the requests of a dozen callers (deadly). One condemns nobody;
// three in a row condemn a request, whichever way they came.
func TestThreeCrashesCondemn(t *testing.T) {
	q := quarantine.NewTracker(0)
	assert.True(t, q.RecordCrash(request.ID, late(1, 1), 0))
	assert.False(t, q.RecordCrash(request.ID, late(1, 2), 0), "one crash, seen by two entries")
	assert.True(t, q.RecordCrash(request.ID, early(2, 3), 0))
	assert.False(t, q.IsCondemned(request, at(3)))
	q.RecordCrash(request.ID, late(3, 4), 0)
	assert.True(t, q.IsCondemned(request, at(4)))
	assert.False(t, q.IsCondemned(quarantine.Subject{ID: 9}, at(4)))
}

// Requests with different bodies for one path crashed engine after engine (deadly). But a path
// that many requests share must not be condemned while engines crash by themselves.
func TestResourceIsCondemnedOnlyWhileServiceExecutesOthers(t *testing.T) {
	q := quarantine.NewTracker(0)
	for i := range 3 {
		q.RecordCrash(resource.ID, early(uint64(i), i), 100+uint64(i))
	}
	assert.False(t, q.IsCondemned(resource, at(3)))
	assert.False(t, q.Confirm(resource.ID, 104), "too few others were executed")
	assert.True(t, q.Confirm(resource.ID, 150))
	assert.False(t, q.Confirm(resource.ID, 150), "once")
	assert.True(t, q.IsCondemned(resource, at(3)))
	assert.True(t, q.IsCondemned(resource, at(300)))
	assert.False(t, q.IsCondemned(resource, at(1000)), "it is forgotten in the end")
}

// While a service executes nothing, such as after a release that fails, its requests must not
// stay condemned for long; one that crashes a target again is condemned again.
func TestUnconfirmedRequestIsCondemnedBriefly(t *testing.T) {
	q := quarantine.NewTracker(0)
	for i := range 3 {
		q.RecordCrash(request.ID, early(uint64(i), i), 0)
	}
	assert.True(t, q.IsCondemned(request, at(20)))
	assert.False(t, q.IsCondemned(request, at(60)))
	q.RecordCrash(request.ID, early(9, 61), 0)
	assert.True(t, q.IsCondemned(request, at(62)))
	q.RecordConfirmation(request.ID, at(62))
	assert.True(t, q.IsCondemned(request, at(200)))
}

// The engines of a service crash by themselves (srv_flap), and a request that many callers send
// is often in flight there. It completes elsewhere between the crashes.
func TestCompletionClearsOfEarlierCrashes(t *testing.T) {
	q := quarantine.NewTracker(0)
	for i := range 20 {
		q.RecordCrash(request.ID, early(uint64(i), 2*i), uint64(100*i))
		assert.True(t, q.RecordCompletion(request.ID, at(2*i+1)))
		assert.False(t, q.RecordCompletion(request.ID, at(2*i+1)), "there is nothing to clear")
		risk, _ := q.Risk(request.ID, at(2*i+1))
		assert.Zero(t, risk)
	}
	assert.False(t, q.RecordCrash(request.ID, early(30, 3), 0), "a crash that is reported late")
	for i := range 3 {
		q.RecordCrash(request.ID, early(uint64(40+i), 50), 0)
	}
	assert.True(t, q.IsCondemned(request, at(50)))
	assert.False(t, q.RecordCompletion(request.ID, at(49)))
	assert.True(t, q.IsCondemned(request, at(50)))
}

func TestMemoryIsBoundedAndKeepsTheCondemned(t *testing.T) {
	q := quarantine.NewTracker(0)
	for i := range 3 {
		q.RecordCrash(request.ID, early(uint64(i), 0), 0)
	}
	for i := range 6000 {
		q.RecordCrash(uint64(100+i), late(9, 1), 0)
	}
	assert.True(t, q.IsCondemned(request, at(2)))
	assert.LessOrEqual(t, len(q.Facts(at(2))), 3+4096)
	q.Expire(at(2000))
	assert.Empty(t, q.Facts(at(2000)))
}

func TestAnotherProcessLearnsAllFromFacts(t *testing.T) {
	one, two := quarantine.NewTracker(0), quarantine.NewTracker(0)
	for i := range 3 {
		c := early(uint64(i), i)
		c.TargetID = "i"
		one.RecordCrash(request.ID, c, 0)
	}
	assert.True(t, one.Confirm(request.ID, 100))
	facts := one.Facts(at(5))
	for _, f := range facts[:3] {
		assert.True(t, two.RecordCrash(f.Subject, quarantine.CrashOf(f, at(5)), 0))
	}
	two.RecordConfirmation(facts[3].Subject, at(5))
	assert.True(t, two.IsCondemned(request, at(100)))
	assert.Equal(t, []string{"i", "i", "i"}, two.Targets(request.ID))
	assert.ElementsMatch(t, one.Facts(at(6)), two.Facts(at(6)))
}

// On sonoro-mzl, eight engines crashed within a second, and some forty bystanders were in flight
// at three of them (deadly-in-troubles). They are cleared once the cause is known; the next
// request that crashes engines is not.
func TestBystandersOfExplainedCrashesAreCleared(t *testing.T) {
	q := quarantine.NewTracker(0)
	bystander := quarantine.Subject{ID: 20}
	for i := range 5 {
		q.RecordCrash(resource.ID, early(uint64(i), i), 0)
		if i < 3 {
			q.RecordCrash(bystander.ID, late(uint64(i), i), 0)
		}
	}
	assert.True(t, q.IsCondemned(bystander, at(5)), "the cause is not confirmed")
	assert.True(t, q.Confirm(resource.ID, 100))
	assert.False(t, q.IsCondemned(bystander, at(5)))
	risk, _ := q.Risk(bystander.ID, at(5))
	assert.Zero(t, risk)
	assert.True(t, q.IsCondemned(resource, at(5)))

	q.RecordCrash(bystander.ID, early(10, 6), 0)
	assert.False(t, q.IsCondemned(bystander, at(6)))
	q.RecordCrash(bystander.ID, early(11, 7), 0)
	assert.True(t, q.IsCondemned(bystander, at(7)))
}

// running returns the crash of a target that had had the request for a time.
func running(target uint64, crashed time.Time, ran time.Duration) quarantine.Crash {
	return quarantine.Crash{Target: target, StartedAt: crashed.Add(-ran), At: crashed}
}

// Three engines of twenty ended together, and the path of the turns that they ran was refused for
// minutes (review/4: LOST). What ends together shows no more than one end does.
func TestTargetsThatEndTogetherAreOneIncident(t *testing.T) {
	q, other := quarantine.NewTracker(0), quarantine.NewTracker(0)
	for i := range 5 {
		c := running(uint64(i), at(1).Add(time.Duration(i)*10*time.Millisecond), 3*time.Second)
		q.RecordCrash(resource.ID, c, 0)
		q.RecordCrash(request.ID, c, 0)
	}
	assert.False(t, q.Confirm(resource.ID, 1000))
	q.RecordConfirmation(resource.ID, at(2))
	assert.False(t, q.IsCondemned(resource, at(2)))
	assert.False(t, q.IsCondemned(request, at(2)))
	for _, f := range q.Facts(at(2)) {
		if f.Subject == resource.ID && f.Kind == loadboard.Crash {
			other.RecordCrash(f.Subject, quarantine.CrashOf(f, at(2)), 0)
		}
	}
	other.RecordConfirmation(resource.ID, at(2))
	assert.False(t, other.IsCondemned(resource, at(2)), "other processes know it as well")
	risk, _ := q.Risk(resource.ID, at(2))
	assert.NotZero(t, risk, "it is a suspect all the same")
}

// On days with deadly requests two often crash their targets at one moment, which must not let
// more of them reach targets.
func TestTwoTargetsThatEndTogetherAreTwoIncidents(t *testing.T) {
	q := quarantine.NewTracker(0)
	q.RecordCrash(request.ID, running(1, at(1), 100*time.Millisecond), 0)
	q.RecordCrash(request.ID, running(2, at(1).Add(20*time.Millisecond), 100*time.Millisecond), 0)
	assert.False(t, q.IsCondemned(request, at(2)))
	q.RecordCrash(request.ID, running(3, at(2), 100*time.Millisecond), 0)
	assert.True(t, q.IsCondemned(request, at(2)))
}

// Repeats of one deadly request reach the next target only after the one before has ended, and
// requests that crash targets by themselves do so at different times (deadly).
func TestTargetsThatEndOneAfterTheOtherAreSeveralIncidents(t *testing.T) {
	for name, crashes := range map[string][]quarantine.Crash{
		"repeats": {
			running(1, at(1), 20*time.Millisecond),
			running(2, at(1).Add(30*time.Millisecond), 20*time.Millisecond),
			running(3, at(1).Add(60*time.Millisecond), 20*time.Millisecond),
		},
		"overlapping, apart":          {running(1, at(1), time.Second), running(2, at(1).Add(60*time.Millisecond), time.Second), running(3, at(1).Add(120*time.Millisecond), time.Second)},
		"overlapping, far apart":      {running(1, at(1), 10*time.Second), running(2, at(3), 10*time.Second), running(3, at(5), 10*time.Second)},
		"known late":                  {running(3, at(5), time.Second), running(1, at(1), time.Second), running(2, at(3), time.Second)},
		"reported by older processes": {early(1, 1), early(2, 1), early(3, 1)},
	} {
		q := quarantine.NewTracker(0)
		for _, c := range crashes {
			q.RecordCrash(request.ID, c, 0)
		}
		assert.True(t, q.IsCondemned(request, at(6)), name)
	}
}

// Engines that ended one after the other, as in a loss of power rack by rack, condemned the path
// of what they ran for ten minutes, since no request of it ran that could have cleared it.
func TestCondemnedRequestIsTriedAgain(t *testing.T) {
	q, slower := quarantine.NewTracker(0), quarantine.NewTracker(0.5)
	for i := range 3 {
		for _, tracker := range []*quarantine.Tracker{q, slower} {
			tracker.RecordCrash(resource.ID, early(uint64(i), i), 0)
			tracker.RecordConfirmation(resource.ID, at(i))
		}
	}
	assert.False(t, q.IsTrialDue(resource.ID, at(31)))
	assert.True(t, q.IsTrialDue(resource.ID, at(32)))
	assert.False(t, slower.IsTrialDue(resource.ID, at(46)), "processes do not all try at once")
	assert.True(t, slower.IsTrialDue(resource.ID, at(47)))
	q.RecordTrial(resource.ID, at(32))
	assert.True(t, q.IsCondemned(resource, at(33)))
	assert.False(t, q.IsTrialDue(resource.ID, at(33)), "one at a time")

	q.RecordCrash(resource.ID, early(9, 34), 0)
	assert.False(t, q.IsTrialDue(resource.ID, at(93)), "the next one comes later")
	assert.True(t, q.IsTrialDue(resource.ID, at(94)))
	q.RecordCompletion(resource.ID, at(95))
	assert.False(t, q.IsCondemned(resource, at(95)))

	for i := range 100 {
		q.RecordCrash(resource.ID, early(uint64(100+i), 100+i), 0)
		q.RecordConfirmation(resource.ID, at(100+i))
		assert.False(t, q.IsTrialDue(resource.ID, at(101+i)), "after %d incidents", i+1)
	}
	assert.False(t, q.IsTrialDue(resource.ID, at(199+599)))
	assert.True(t, q.IsTrialDue(resource.ID, at(199+600)))
}
