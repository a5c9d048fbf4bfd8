package quorum

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	// minForwardBytes is the size of an append from which members forward its records within
	// their failure domain. Smaller ones cost less than the messages that this takes.
	minForwardBytes = 1 << 10
	// forwardPause is how long records are sent to each member of a failure domain after some
	// were not forwarded there. By its end a member that does not respond has no connection.
	forwardPause = time.Second
)

// delivery is how one member gets the records of an append. The zero value is that they are
// sent to it.
type delivery struct {
	// forwardTo are the members to which this one forwards the records.
	forwardTo []string
	// isForwarded means that another member forwards the records to this one.
	isForwarded bool
}

// planDeliveries returns how members get the records, by name. One member of each other failure
// domain forwards them to those of its domain, since bytes between domains are slow and dear.
// Every member still responds for itself.
func (c *Client) planDeliveries(records []*ledgerpb.Record, view ledger.View, links []*link) map[string]delivery {
	if !mayBeForwarded(records) {
		return nil
	}
	byDomain := make(map[string][]*link)
	for _, l := range links {
		if l.seat.Domain != c.domain && view.Counts(l.seat.Name) && l.knowsForwarding() && !c.isForwardingPaused(l.seat.Domain) {
			byDomain[l.seat.Domain] = append(byDomain[l.seat.Domain], l)
		}
	}
	deliveries := make(map[string]delivery, len(links))
	for _, members := range byDomain {
		if len(members) < 2 {
			continue
		}
		forwarder := rand.N(len(members))
		var forwardTo []string
		for i, l := range members {
			if i != forwarder {
				forwardTo = append(forwardTo, l.seat.Name)
				deliveries[l.seat.Name] = delivery{isForwarded: true}
			}
		}
		deliveries[members[forwarder].seat.Name] = delivery{forwardTo: forwardTo}
	}
	return deliveries
}

// mayBeForwarded reports whether records are worth forwarding. Reservations are not, since the
// response to them contains the spending.
func mayBeForwarded(records []*ledgerpb.Record) bool {
	size := 0
	for _, rec := range records {
		if _, known := ledger.Summarize(rec); !known || rec.GetReservation() != nil {
			return false
		}
		size += proto.Size(rec)
	}
	return size >= minForwardBytes
}

// keysOf returns the keys of records that mayBeForwarded.
func keysOf(records []*ledgerpb.Record) []uint64 {
	keys := make([]uint64, 0, len(records))
	for _, rec := range records {
		if summary, known := ledger.Summarize(rec); known {
			keys = append(keys, uint64(summary.Key))
		}
	}
	return keys
}

func (c *Client) isForwardingPaused(domain string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return time.Now().Before(c.forwardingPaused[domain])
}

func (c *Client) pauseForwarding(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwardingPaused[domain] = time.Now().Add(c.forwardPause)
}

// Forward sends records to one member, if it is connected, for a client that sent them to this
// process. Done is called once, when nothing is left to be sent.
func (c *Client) Forward(member string, records []*ledgerpb.Record, done func()) {
	c.mu.RLock()
	version := c.view.Version
	seat, seated := c.view.Seat(member)
	l := c.links[linkID(seat)]
	c.mu.RUnlock()
	if !seated || l == nil {
		done()
		return
	}
	l.sendOnce(&ledgerpb.Request{ViewVersion: version, Call: &ledgerpb.Request_Append{Append: &ledgerpb.Append{Records: records}}}, done)
}

// sendWhole sends the call to a member to which its records were not forwarded.
func (a *appendCall) sendWhole(seat ledger.Seat) {
	a.client.pauseForwarding(seat.Domain)
	if l := a.client.linkTo(seat); l != nil {
		l.send(a)
	}
}

// wasNotForwarded reports whether a response says that the member waited in vain for the
// records. They are then sent to it even if a quorum has them.
func (a *appendCall) wasNotForwarded(seat ledger.Seat, status ledgerpb.Status) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.awaiting[seat.Name] {
		return false
	}
	delete(a.awaiting, seat.Name)
	switch status {
	case ledgerpb.Status_STATUS_OK, ledgerpb.Status_STATUS_RECOVERING, ledgerpb.Status_STATUS_STALE_VIEW:
		return false
	}
	a.lacking[seat.Name] = true
	return true
}
