package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// statusesOf returns the statuses of the replies to a request.
func statusesOf(effects []ledger.Effect, requestID uint64) []ledgerpb.Status {
	var statuses []ledgerpb.Status
	for _, effect := range effects {
		if reply, ok := effect.(ledger.Reply); ok && reply.RequestID == requestID {
			statuses = append(statuses, reply.Response.GetStatus())
		}
	}
	return statuses
}

// A reply to a request that waits for records is an acknowledgement, so all of them have to be
// durable.
func TestAwaitedRecordsAreAcknowledgedWhenDurable(t *testing.T) {
	const waiting = 7
	one, two := turnRecord("p", "t1", ""), turnRecord("p", "t2", "t1")
	keys := []uint64{uint64(summary(t, one).Key), uint64(summary(t, two).Key)}
	ok, notFound := []ledgerpb.Status{ledgerpb.Status_STATUS_OK}, []ledgerpb.Status{ledgerpb.Status_STATUS_NOT_FOUND}
	write := func(d *disk, rec *ledgerpb.Record) ledger.Write {
		return d.replica.Step(ledger.AppendRequested{RequestID: 1, Records: []*ledgerpb.Record{rec}}, d.now)[0].(ledger.Write)
	}
	for name, c := range map[string]struct {
		steps func(d *disk) []ledger.Effect
		want  []ledgerpb.Status
	}{
		"none arrives": {func(d *disk) []ledger.Effect { return d.step(ledger.AwaitEnded{RequestID: waiting}) }, notFound},
		"one arrives": {func(d *disk) []ledger.Effect {
			d.append(one)
			return d.step(ledger.AwaitEnded{RequestID: waiting})
		}, notFound},
		"one is being written": {func(d *disk) []ledger.Effect {
			d.append(one)
			write(d, two)
			return d.step(ledger.AwaitEnded{RequestID: waiting})
		}, nil},
		"both are durable": {func(d *disk) []ledger.Effect {
			d.append(one)
			return d.step(ledger.AppendRequested{RequestID: 1, Records: []*ledgerpb.Record{two}})
		}, ok},
		"durable after the time": {func(d *disk) []ledger.Effect {
			d.append(one)
			w := write(d, two)
			d.step(ledger.AwaitEnded{RequestID: waiting})
			return d.step(d.complete(w))
		}, ok},
		"the write fails": {func(d *disk) []ledger.Effect {
			d.append(one)
			w := write(d, two)
			d.step(ledger.AwaitEnded{RequestID: waiting})
			d.fail = true
			return d.step(d.complete(w))
		}, notFound},
		"one of two writes fails": {func(d *disk) []ledger.Effect {
			d.append(one)
			w, again := write(d, two), write(d, two)
			d.step(ledger.AwaitEnded{RequestID: waiting})
			d.fail = true
			effects := d.step(d.complete(w))
			d.fail = false
			return append(effects, d.step(d.complete(again))...)
		}, ok},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDisk(true)
			assert.Empty(t, statusesOf(d.step(ledger.RecordsAwaited{RequestID: waiting, Keys: keys}), waiting))
			assert.Equal(t, c.want, statusesOf(c.steps(d), waiting))
		})
	}
	d := newDisk(false)
	d.append(one, two)
	assert.Equal(t, []ledgerpb.Status{ledgerpb.Status_STATUS_RECOVERING}, statusesOf(d.step(ledger.RecordsAwaited{RequestID: waiting, Keys: keys}), waiting), "stored already, at a member that does not count")
}
