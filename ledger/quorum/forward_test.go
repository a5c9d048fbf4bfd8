package quorum_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
)

// deliveries records how scripted members got the records of turns.
type deliveries struct {
	mu sync.Mutex
	// whole and awaits count appends and requests that wait, forwardTo the members named in
	// appends, by member.
	whole, awaits, forwardTo map[string]int
	// together is the number of calls to which no member responds before all members have got
	// them. An append that a quorum has stored is not sent to the others any more.
	together int
}

// awaitOthers waits until all members have got as many requests as the named one, if these are no
// more than together.
func (d *deliveries) awaitOthers(name string) {
	d.mu.Lock()
	n := d.whole[name] + d.awaits[name]
	isTogether := n <= d.together
	d.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); isTogether && time.Now().Before(end); time.Sleep(time.Millisecond) {
		d.mu.Lock()
		isTogether = false
		for i := range 5 {
			other := fmt.Sprintf("m%d", i)
			isTogether = isTogether || d.whole[other]+d.awaits[other] < n
		}
		d.mu.Unlock()
	}
}

// forwards is a script of a member that forwards records; awaited is its response to requests
// that wait for them.
func (d *deliveries) forwards(name string, awaited script) script {
	return d.record(name, func(req *ledgerpb.Request) *ledgerpb.Response {
		if req.GetAwaitRecords() != nil {
			return awaited(req)
		}
		return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OK, Forwards: true}
	})
}

func (d *deliveries) record(name string, respond script) script {
	return func(req *ledgerpb.Request) *ledgerpb.Response {
		d.mu.Lock()
		if req.GetAwaitRecords() != nil {
			d.awaits[name]++
		}
		if req.GetAppend() != nil {
			d.whole[name]++
			d.forwardTo[name] += len(req.GetAppend().GetForwardTo())
		}
		d.mu.Unlock()
		d.awaitOthers(name)
		return respond(req)
	}
}

// sums returns the appends, the requests that wait and the members named in appends, of some
// members.
func (d *deliveries) sums(names ...string) [3]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	var s [3]int
	for _, name := range names {
		s[0] += d.whole[name]
		s[1] += d.awaits[name]
		s[2] += d.forwardTo[name]
	}
	return s
}

// domainClient returns a client in domain d0 with scripted members m0 in d0, m1 and m2 in d1,
// m3 and m4 in d2, each of which has got one whole append. The client knows the forwarders.
func domainClient(t *testing.T, forwarders int, scripts func(d *deliveries, name string) script) (*quorum.Client, *deliveries) {
	t.Helper()
	d := &deliveries{whole: make(map[string]int), awaits: make(map[string]int), forwardTo: make(map[string]int), together: 1}
	view := ledger.View{}
	for i := range 5 {
		name := fmt.Sprintf("m%d", i)
		view = view.With(ledger.Seat{Name: name, Addr: startScriptedMember(t, scripts(d, name)), Domain: fmt.Sprintf("d%d", (i+1)/2), Ready: true})
	}
	client := newClientOf(t, view)
	require.Eventually(t, func() bool { return client.Connected() == len(view.Seats) }, 5*time.Second, time.Millisecond)
	appendTurn(t, client, "first", 2048)
	require.Eventually(t, func() bool {
		return d.sums("m0", "m1", "m2", "m3", "m4") == [3]int{5, 0, 0} && client.Forwarders() == forwarders
	}, 5*time.Second, time.Millisecond)
	return client, d
}

func appendTurn(t *testing.T, client *quorum.Client, id string, inputBytes int) {
	t.Helper()
	turn := &ledgerpb.Turn{Program: "p", Id: id, Input: make([]byte, inputBytes), RetentionMs: 1}
	_, err := client.Append(contextWithTimeout(t, 5*time.Second), ledger.NewTurn(turn), ledger.NewSettlement("p", id, 1, ""))
	require.NoError(t, err)
}

func TestRecordsCrossFailureDomainsOnce(t *testing.T) {
	client, d := domainClient(t, 5, func(d *deliveries, name string) script {
		d.together = 3
		return d.forwards(name, accepts)
	})
	appendTurn(t, client, "second", 2048)
	for _, domain := range [][]string{{"m1", "m2"}, {"m3", "m4"}} {
		assert.Eventually(t, func() bool { return d.sums(domain...) == [3]int{3, 1, 1} }, 5*time.Second, time.Millisecond)
	}
	appendTurn(t, client, "short", 100)
	assert.Eventually(t, func() bool { return d.sums("m1", "m2", "m3", "m4") == [3]int{10, 2, 2} }, 5*time.Second, time.Millisecond, "short records are sent to all")
}

// Members of an earlier version neither forward records nor wait for them.
func TestMembersOfEarlierVersionsGetWholeRecords(t *testing.T) {
	client, d := domainClient(t, 3, func(d *deliveries, name string) script {
		if name == "m2" || name == "m3" {
			return d.record(name, func(req *ledgerpb.Request) *ledgerpb.Response {
				if req.GetAppend() == nil {
					return fails(req)
				}
				return accepts(req)
			})
		}
		return d.forwards(name, accepts)
	})
	appendTurn(t, client, "second", 2048)
	assert.Eventually(t, func() bool { return d.sums("m0", "m1", "m2", "m3", "m4") == [3]int{10, 0, 0} }, 5*time.Second, time.Millisecond)
}

// A member to which a record was not forwarded has to get it, also when a quorum has it already.
func TestRecordsThatWereNotForwardedAreSent(t *testing.T) {
	for name, awaited := range map[string]script{
		"not forwarded": func(*ledgerpb.Request) *ledgerpb.Response {
			time.Sleep(20 * time.Millisecond)
			return unknown(nil)
		},
		"overloaded": status(ledgerpb.Status_STATUS_OVERLOADED),
	} {
		t.Run(name, func(t *testing.T) {
			client, d := domainClient(t, 5, func(d *deliveries, name string) script { return d.forwards(name, awaited) })
			client.SetForwardPause(time.Minute)
			appendTurn(t, client, "second", 2048)
			for _, domain := range [][]string{{"m1", "m2"}, {"m3", "m4"}} {
				assert.Eventually(t, func() bool { return d.sums(domain...) == [3]int{4, 1, 1} }, 5*time.Second, time.Millisecond)
			}
			appendTurn(t, client, "third", 2048)
			assert.Eventually(t, func() bool { return d.sums("m1", "m2", "m3", "m4") == [3]int{12, 2, 2} }, 5*time.Second, time.Millisecond, "forwarding pauses")
		})
	}
}
