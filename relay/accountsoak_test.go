package relay_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

var accountSeeds = flag.Uint64("account-seeds", 1, "number of seeds of TestAccountsUnderRandomFaults")

const (
	soakTime    = 6 * time.Second
	quotaWindow = 5 * time.Second
	// boardLife is the shortest time between two moves of the load board.
	boardLife = quotaWindow
)

// accountSoak is a set of entries whose callers belong to accounts, while entries die, the load
// board moves or is cut off, targets fail, and keys are revoked and restored.
type accountSoak struct {
	t       *testing.T
	random  *rand.Rand // of the faults
	board   *sharedBoard
	ledger  *memoryLedger
	targets []*platformtest.Target
	entries [3]atomic.Pointer[testbed]
	version int64
	quotas  map[string]catalog.Quota
	// revocations counts changes of the key of swing: odd while no entry knows it, even while
	// all do, and negative during a change.
	revocations atomic.Int64
	failing     atomic.Bool // targets reject or abort some requests
	stop        chan struct{}

	mu  sync.Mutex
	ran map[string][]time.Time // requests that targets ran, by account
}

func newAccountSoak(t *testing.T, seed uint64) *accountSoak {
	s := &accountSoak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), board: newSharedBoard(), ledger: newMemoryLedger(), stop: make(chan struct{}), ran: make(map[string][]time.Time),
		quotas: map[string]catalog.Quota{"storm": {PerSecond: 20, Burst: 10}, "below": {PerSecond: 40, Burst: 40}, "swing": {}, "free": {}},
	}
	for i := range 3 {
		s.targets = append(s.targets, platformtest.NewTarget(fmt.Sprint("i", i), s.serveTarget))
	}
	for i := range s.entries {
		s.startEntry(i)
	}
	return s
}

// serveTarget responds to most requests, and records those that it runs.
func (s *accountSoak) serveTarget(w http.ResponseWriter, r *http.Request) {
	failing := s.failing.Load()
	if failing && rand.IntN(4) == 0 {
		platformtest.RejectUnexecuted(http.StatusServiceUnavailable)(w, r)
		return
	}
	s.mu.Lock()
	account := r.Header.Get(accountHeader)
	s.ran[account] = append(s.ran[account], time.Now())
	s.mu.Unlock()
	if failing && rand.IntN(4) == 0 {
		platformtest.AbortConnection(w, r)
	}
	platformtest.StreamEvents(2, 0, 0)(w, r)
}

// startEntry starts an entry in place of one that is killed, if there is one.
func (s *accountSoak) startEntry(i int) {
	b := newTestbedWithOptions(s.t, relay.Options{Permits: s.board, Quotas: s.board}, s.ledger)
	s.configure(b)
	if old := s.entries[i].Swap(b); old != nil {
		old.server.CloseClientConnections()
	}
}

func (s *accountSoak) configure(b *testbed) {
	b.version = s.version
	b.edit = func(c *catalog.Config) {
		for name, q := range s.quotas {
			if name == "swing" && s.version%2 == 1 {
				continue
			}
			require.NoError(s.t, c.AddAccount(catalog.Account{Name: name, Quota: q}, []string{"key-" + name}))
		}
		for i := range c.Routes {
			c.Routes[i].LatencyTarget = time.Minute
		}
	}
	b.update(s.targets...)
}

// changeKey revokes the key of swing at all entries, or restores it.
func (s *accountSoak) changeKey() {
	s.revocations.Store(-1)
	s.version++
	for i := range s.entries {
		s.configure(s.entries[i].Load())
	}
	s.revocations.Store(s.version)
}

// cutBoard makes the load board unavailable to all entries, or available again.
func (s *accountSoak) cutBoard() {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	if s.board.err == nil {
		s.board.err = errors.New("no member")
	} else {
		s.board.err = nil
	}
}

func (s *accountSoak) moveBoard() {
	s.board.mu.Lock()
	defer s.board.mu.Unlock()
	s.board.board = loadboard.New()
}

// injectFaults brings about a fault every 50 to 250 ms.
func (s *accountSoak) injectFaults() {
	moved := time.Now()
	for began := time.Now(); time.Since(began) < soakTime; {
		time.Sleep(time.Duration(50+s.random.IntN(200)) * time.Millisecond)
		switch fault := s.random.IntN(5); {
		case fault == 0:
			s.startEntry(s.random.IntN(len(s.entries)))
		case fault == 1:
			s.changeKey()
		case fault == 2:
			s.cutBoard()
		case fault == 3:
			s.failing.Store(!s.failing.Load())
		case time.Since(moved) > boardLife:
			moved = time.Now()
			s.moveBoard()
		}
	}
	close(s.stop)
}

// exchangeLoad tells each entry of the others if the board is available.
func (s *accountSoak) exchangeLoad() {
	s.board.mu.Lock()
	available := s.board.err == nil
	s.board.mu.Unlock()
	if available {
		exchange(s.board, s.entries[0].Load(), s.entries[1].Load(), s.entries[2].Load())
	}
}

func (s *accountSoak) isRunning() bool {
	select {
	case <-s.stop:
		return false
	default:
		return true
	}
}

// sendRequests sends requests of an account, one after the other at any entry, until the faults
// end, and passes the results to check.
func (s *accountSoak) sendRequests(account string, pause time.Duration, check func(callResult), headers ...string) {
	for n := 0; s.isRunning(); n++ {
		id := fmt.Sprintf("%s-%p-%d", account, &n, n)
		check(s.entries[n%len(s.entries)].Load().callWithID(id, storedTurnsPath, account, asAccount(account, headers...)...))
		time.Sleep(pause)
	}
}

// checkKey requires that a key is accepted or refused as all entries know it.
func (s *accountSoak) checkKey() {
	for s.isRunning() {
		before := s.revocations.Load()
		got := s.entries[0].Load().callWithID(fmt.Sprint("swing", time.Now().UnixNano()), storedTurnsPath, "x", asAccount("swing")...)
		if before < 0 || s.revocations.Load() != before || got.err != nil {
			continue
		}
		assert.Equal(s.t, before%2 == 1, got.status == http.StatusUnauthorized, "version %d: status %d", before, got.status)
		time.Sleep(5 * time.Millisecond)
	}
}

// checkQuota requires that no account ran more than its quota allows in any window.
func (s *accountSoak) checkQuota() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account, q := range s.quotas {
		if q.PerSecond == 0 {
			continue
		}
		allowed := (q.PerSecond*quotaWindow.Seconds()+q.Burst)*1.1 + 20
		times := s.ran[account]
		for first, last := 0, 0; last < len(times); last++ {
			for times[last].Sub(times[first]) >= quotaWindow {
				first++
			}
			require.LessOrEqual(s.t, float64(last-first+1), allowed, account)
		}
	}
}

// checkRecovery requires that each entry serves accounts below their quotas, one request after the
// other, once nothing fails any more.
func (s *accountSoak) checkRecovery() {
	const inSequence = 10
	s.failing.Store(false)
	s.board.mu.Lock()
	s.board.err = nil
	s.board.mu.Unlock()
	var wait sync.WaitGroup
	for _, account := range []string{"storm", "below", "free"} {
		wait.Go(func() {
			for i := range s.entries {
				served := 0
				assert.Eventually(s.t, func() bool {
					s.exchangeLoad()
					id := fmt.Sprint("recovered-", account, i, "-", time.Now().UnixNano())
					served++
					if s.entries[i].Load().callWithID(id, storedTurnsPath, "x", asAccount(account)...).status != http.StatusOK {
						served = 0
					}
					return served == inSequence
				}, quotaWindow, 100*time.Millisecond, "entry %d, %s", i, account)
			}
		})
	}
	wait.Wait()
}

// Entries and the load board fail while accounts compete. The quotas hold over all entries, a
// revoked key starts nothing, a turn is read by its account only, and accounts without a quota
// are refused nothing.
func TestAccountsUnderRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= *accountSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newAccountSoak(t, seed)
			require.Equal(t, http.StatusOK, s.entries[0].Load().callWithID("turn", storedTurnsPath, "secret", asAccount("free")...).status)
			known := func(got callResult) { assert.NotEqual(t, http.StatusUnauthorized, got.status) }
			var wait sync.WaitGroup
			for range 8 {
				wait.Go(func() { s.sendRequests("storm", 20*time.Millisecond, known) })
			}
			wait.Go(func() { s.sendRequests("below", 100*time.Millisecond, known) })
			wait.Go(func() {
				s.sendRequests("free", 10*time.Millisecond, func(got callResult) {
					known(got)
					assert.NotEqual(t, http.StatusTooManyRequests, got.status)
				})
			})
			wait.Go(func() {
				s.sendRequests("below", 200*time.Millisecond, func(got callResult) {
					assert.NotEqual(t, http.StatusOK, got.status, "the turn of another account")
				}, previousTurn, "turn")
			})
			wait.Go(s.checkKey)
			wait.Go(func() {
				for ; s.isRunning(); time.Sleep(50 * time.Millisecond) {
					s.exchangeLoad()
				}
			})
			s.injectFaults()
			wait.Wait()
			s.checkQuota()
			s.checkRecovery()
		})
	}
}
