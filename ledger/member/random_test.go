package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
)

const (
	// randomRuns is the number of seeds that run by default. RANDOM_SEEDS=FIRST-LAST runs others.
	randomRuns = 4
	// randomSteps is the number of planned changes and faults of one run.
	randomSteps = 9
	// leaveTime bounds how long a member that gets SIGTERM may take, and catchUp how long a
	// member that starts may take to count.
	leaveTime = 4 * time.Second
	catchUp   = 20 * time.Second
)

// randomRun is a ledger under random planned changes and faults, of which at most one disk is lost
// at a time. A turn that was acknowledged must be readable once all members that are left run.
type randomRun struct {
	*cluster
	rand *rand.Rand
	// running are the members that run, down those that will start again.
	running, down []string
	started       int
	// wiped is the member that lost its disk last.
	wiped string
	// acknowledged are the texts of the turns that were acknowledged, last the latest of them.
	mu           sync.Mutex
	acknowledged map[string]string
	last         string
}

func TestRandomChangesAndFaults(t *testing.T) {
	first, last := 1, randomRuns
	if seeds := os.Getenv("RANDOM_SEEDS"); seeds != "" {
		from, to, _ := strings.Cut(seeds, "-")
		var err error
		first, err = strconv.Atoi(from)
		require.NoError(t, err)
		last, err = strconv.Atoi(to)
		require.NoError(t, err)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := &randomRun{cluster: newCluster(t), rand: rand.New(rand.NewPCG(uint64(seed), 0)), acknowledged: map[string]string{}}
			r.play()
		})
	}
}

func (r *randomRun) play() {
	r.startThree()
	r.running, r.started = []string{"m1", "m2", "m3"}, 3
	stop := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { r.writeUntil(stop) })
	for range randomSteps {
		r.step()
		time.Sleep(time.Duration(r.rand.IntN(1200)) * time.Millisecond)
	}
	for len(r.down) > 0 {
		r.startDown()
	}
	require.Eventually(r.t, r.isComplete, 2*catchUp, 50*time.Millisecond, "seats %+v, running %v", r.views.Snapshot().View, r.running)
	close(stop)
	writer.Wait()
	for id, want := range r.acknowledged {
		text, err := r.client.ReadChain(r.context(), id, 0)
		require.NoError(r.t, err, id)
		require.Equal(r.t, want, string(text), id)
	}
	assert.NotEmpty(r.t, r.acknowledged)
}

// step makes one change. Restarts overlap with what comes next.
func (r *randomRun) step() {
	kind := r.rand.IntN(6)
	if kind < 2 && len(r.down) > 0 {
		r.startDown()
		return
	}
	name := r.running[r.rand.IntN(len(r.running))]
	switch {
	case kind == 2 && len(r.down) == 0:
		r.t.Logf("%s gets SIGTERM", name)
		r.stopGently(name)
		r.down = append(r.down, name)
	case kind == 3 && len(r.down) == 0:
		r.t.Logf("%s is killed", name)
		r.remove(name)
		r.stop(name)
		r.down = append(r.down, name)
	case kind == 4 && r.isComplete():
		r.replace(name)
	case kind == 5 && r.mayLoseDisk():
		r.t.Logf("%s loses its disk, %v are down", name, r.down)
		r.loseDisk(name)
		r.wiped = name
	case len(r.running) < 5 && len(r.down) == 0:
		r.startNew()
	case len(r.running) > 3 && r.isComplete():
		r.t.Logf("%s is retired", name)
		r.store.Put(platform.RetireKey(name), []byte(`{"duration_s":10}`))
		key, completed := platform.RetireStatus(name, true)
		require.Eventually(r.t, func() bool { return string(r.store.Value(key)) == string(completed) }, catchUp, 20*time.Millisecond)
		r.remove(name)
		r.stop(name)
	}
}

// replace replaces a member as planned: the new one first. The old one may be killed once the
// new one has copied.
func (r *randomRun) replace(name string) {
	r.startNew()
	if r.rand.IntN(2) == 0 {
		r.t.Logf("%s gets SIGTERM and is removed", name)
		r.stopGently(name)
		return
	}
	require.Eventually(r.t, r.isComplete, catchUp, 20*time.Millisecond)
	r.t.Logf("%s is killed and removed", name)
	r.remove(name)
	r.stop(name)
}

func (r *randomRun) startNew() {
	r.started++
	name := fmt.Sprint("m", r.started)
	r.t.Logf("%s is added", name)
	r.start(name, false)
	r.running = append(r.running, name)
}

func (r *randomRun) startDown() {
	name := r.down[0]
	r.t.Logf("%s starts again", name)
	r.down = r.down[1:]
	r.start(name, false)
	r.running = append(r.running, name)
}

func (r *randomRun) stopGently(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	r.members[name].Leave(ctx)
	r.remove(name)
	r.stop(name)
}

func (r *randomRun) remove(name string) {
	for i, other := range r.running {
		if other == name {
			r.running = append(r.running[:i:i], r.running[i+1:]...)
			return
		}
	}
}

// mayLoseDisk reports whether a disk may be lost, also while other members are down or rejoin: the
// one that was lost last is replaced, and no view relies on that of a member that has gone.
func (r *randomRun) mayLoseDisk() bool {
	if r.isComplete() {
		return true
	}
	if r.wiped != "" && (slices.Contains(r.down, r.wiped) || slices.Contains(r.running, r.wiped) && !r.members[r.wiped].Ready()) {
		return false
	}
	view := r.views.Snapshot().View
	seats := slices.Clone(view.Seats)
	if view.NeedsRemoved() {
		seats = append(seats, *view.Removed)
	}
	return !slices.ContainsFunc(seats, func(s ledger.Seat) bool {
		return s.Former != nil || !slices.Contains(r.running, s.Name) && !slices.Contains(r.down, s.Name)
	})
}

// isComplete reports whether one more disk may be lost: all members run, have seats and are ready,
// no seat that counts is that of a member that has gone, unless the view is settled and has one
// more, and nothing is being changed.
func (r *randomRun) isComplete() bool {
	view := r.views.Snapshot().View
	gone := 0
	for _, seat := range view.Seats {
		if isRunning := strings.Contains(" "+strings.Join(r.running, " ")+" ", " "+seat.Name+" "); !isRunning {
			gone++
		}
		if !seat.Ready {
			return false
		}
	}
	for _, name := range r.running {
		if _, seated := view.Seat(name); !seated && view.IsFull(1) {
			continue
		}
		if !r.members[name].Ready() {
			return false
		}
	}
	return len(r.down) == 0 && !view.NeedsSettling(1) && (gone == 0 || gone == 1 && view.Settled && len(view.Seats) > 3)
}

// writeUntil appends turns to one chain, each of which continues the last that was acknowledged.
func (r *randomRun) writeUntil(stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id := fmt.Sprint("t", n)
		r.mu.Lock()
		previous, text := r.last, r.acknowledged[r.last]+id+","
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := r.client.Append(ctx, ledger.NewTurn(&ledgerpb.Turn{Program: "p", Id: id, Previous: previous, Input: []byte(id + ","), RetentionMs: 600_000}))
		cancel()
		if err != nil {
			continue
		}
		r.mu.Lock()
		r.acknowledged[id], r.last = text, id
		r.mu.Unlock()
	}
}
