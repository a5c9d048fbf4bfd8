package ledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// disk is an in-memory disk that completes the writes of a replica.
type disk struct {
	replica *ledger.Replica
	segment uint32
	offset  uint32
	now     time.Time
	fail    bool
}

func newDisk(ready bool) *disk {
	return &disk{replica: ledger.NewReplica(ready), segment: 1, now: time.Unix(1000, 0)}
}

// step applies an event, completes its writes, expires programs without other members and returns
// all other effects.
func (d *disk) step(ev ledger.Event) []ledger.Effect {
	var out []ledger.Effect
	for _, effect := range d.replica.Step(ev, d.now) {
		switch e := effect.(type) {
		case ledger.Write:
			out = append(out, d.step(d.complete(e))...)
		case ledger.ExpiryDue:
			out = append(out, d.step(ledger.ExpiryAnswered{Due: e, Quorum: 1, Counts: true})...)
		default:
			out = append(out, effect)
		}
	}
	return out
}

func (d *disk) complete(w ledger.Write) ledger.Stored {
	stored := ledger.Stored{RequestID: w.RequestID, Summaries: w.Summaries, Records: w.Records, AreCopies: w.AreCopies, Failed: d.fail}
	for range w.Records {
		stored.Locations = append(stored.Locations, ledger.Location{Segment: d.segment, Offset: d.offset, Length: 1})
		d.offset++
	}
	return stored
}

func (d *disk) append(records ...*ledgerpb.Record) *ledgerpb.Response {
	return d.step(ledger.AppendRequested{RequestID: 1, Records: records})[0].(ledger.Reply).Response
}

func spending(response *ledgerpb.Response) *ledger.Spending {
	s := &ledger.Spending{}
	for _, b := range response.GetBudgets() {
		s.Merge(b)
	}
	return s
}

const retention = uint64(60_000)

func summary(t *testing.T, rec *ledgerpb.Record) ledger.Summary {
	t.Helper()
	s, ok := ledger.Summarize(rec)
	require.True(t, ok)
	return s
}

func turnRecord(program, id, previous string) *ledgerpb.Record {
	return ledger.NewTurn(&ledgerpb.Turn{Program: program, Id: id, Previous: previous, RetentionMs: retention})
}

func TestRacingReservationsSeeEachOther(t *testing.T) {
	d := newDisk(true)
	// Both reservations arrive before either is durable.
	first := d.replica.Step(ledger.AppendRequested{RequestID: 1, Records: []*ledgerpb.Record{ledger.NewReservation("p", "a", 300, retention)}}, d.now)
	second := d.replica.Step(ledger.AppendRequested{RequestID: 2, Records: []*ledgerpb.Record{ledger.NewReservation("p", "b", 200, retention)}}, d.now)
	a := d.step(d.complete(first[0].(ledger.Write)))[0].(ledger.Reply).Response
	b := d.step(d.complete(second[0].(ledger.Write)))[0].(ledger.Reply).Response
	assert.Equal(t, 200, spending(a).Committed("a"))
	assert.Equal(t, 300, spending(b).Committed("b"))
}

func TestSettlementReplacesReservationInAnyOrder(t *testing.T) {
	for _, order := range [][]*ledgerpb.Record{
		{ledger.NewReservation("p", "a", 300, retention), ledger.NewSettlement("p", "a", 40, "")},
		{ledger.NewSettlement("p", "a", 40, ""), ledger.NewReservation("p", "a", 300, retention)},
	} {
		d := newDisk(true)
		for _, rec := range order {
			d.append(rec)
		}
		assert.Equal(t, 40, spending(d.append(ledger.NewReservation("p", "b", 1, retention))).Committed("b"))
	}
}

func TestBudgetReportsLastTarget(t *testing.T) {
	d := newDisk(true)
	d.append(ledger.NewReservation("p", "a", 300, retention))
	assert.Empty(t, spending(d.append(ledger.NewReservation("p", "b", 1, retention))).LastTarget())
	d.append(ledger.NewSettlement("p", "a", 40, "i1"))
	// The settlement of an attempt that no target ran does not change the last target.
	d.append(ledger.NewSettlement("p", "b", 0, ""))
	last := spending(d.append(ledger.NewReservation("p", "c", 1, retention)))
	assert.Equal(t, "i1", last.LastTarget())
	decoded := &ledger.Spending{}
	decoded.Merge(last.Budget("p"))
	assert.Equal(t, "i1", decoded.LastTarget(), "encoding and decoding must preserve the last target")
}

func TestMergeIsAUnion(t *testing.T) {
	one, two := newDisk(true), newDisk(true)
	one.append(ledger.NewReservation("p", "x", 100, retention))
	two.append(ledger.NewReservation("p", "y", 50, retention))
	two.append(ledger.NewReservation("p", "x", 100, retention), ledger.NewSettlement("p", "x", 10, ""))
	s := &ledger.Spending{}
	for _, d := range []*disk{one, two, one} {
		for _, b := range d.append(ledger.NewReservation("p", "z", 1, retention)).GetBudgets() {
			s.Merge(b)
		}
	}
	assert.Equal(t, 60, s.Committed("z"))
}

func TestFailedWriteIsNotAcknowledgedAndCanBeRetried(t *testing.T) {
	d := newDisk(true)
	d.fail = true
	rec := ledger.NewReservation("p", "a", 1, retention)
	assert.Equal(t, ledgerpb.Status_STATUS_FAILED, d.append(rec).GetStatus())
	assert.Zero(t, d.replica.Records())
	d.fail = false
	assert.Equal(t, ledgerpb.Status_STATUS_OK, d.append(rec).GetStatus())
	assert.Equal(t, 1, d.replica.Records())
	before := d.offset
	assert.Equal(t, ledgerpb.Status_STATUS_OK, d.append(rec).GetStatus())
	assert.Equal(t, before, d.offset, "a stored record is not written a second time")
}

func TestRecoveringReplicaReportsRecoveringStatus(t *testing.T) {
	d := newDisk(false)
	assert.Equal(t, ledgerpb.Status_STATUS_RECOVERING, d.append(ledger.NewReservation("p", "a", 1, retention)).GetStatus())
	unknown := d.step(ledger.ChainRequested{RequestID: 1, Turn: "t"})[0].(ledger.Reply).Response
	assert.Equal(t, ledgerpb.Status_STATUS_RECOVERING, unknown.GetStatus())
	d.append(turnRecord("p", "t", ""))
	assert.IsType(t, ledger.ReplyChain{}, d.step(ledger.ChainRequested{RequestID: 1, Turn: "t"})[0], "a recovering replica serves the records that it has")
	d.step(ledger.Recovered{})
	unknown = d.step(ledger.ChainRequested{RequestID: 1, Turn: "u"})[0].(ledger.Reply).Response
	assert.Equal(t, ledgerpb.Status_STATUS_NOT_FOUND, unknown.GetStatus())
}

// A member that was down while one turn of a chain was written lacks that turn.
func TestChainWithGapReportsMissingTurn(t *testing.T) {
	d := newDisk(true)
	d.append(turnRecord("p", "t1", ""))
	d.append(turnRecord("p", "t3", "t2"))
	d.append(turnRecord("p", "t4", "t3"))
	chain := d.step(ledger.ChainRequested{RequestID: 1, Turn: "t4"})[0].(ledger.ReplyChain)
	assert.Equal(t, "t2", chain.Missing)
	require.Len(t, chain.Locations, 2)
	assert.Less(t, chain.Locations[0].Offset, chain.Locations[1].Offset, "oldest first")
	d.append(turnRecord("p", "t2", "t1"))
	chain = d.step(ledger.ChainRequested{RequestID: 1, Turn: "t4"})[0].(ledger.ReplyChain)
	assert.Empty(t, chain.Missing)
	assert.Len(t, chain.Locations, 4)
	size := uint64(0)
	for _, at := range chain.Locations {
		size += uint64(at.Length)
	}
	assert.IsType(t, ledger.ReplyChain{}, d.step(ledger.ChainRequested{Turn: "t4", MaxBytes: size})[0])
	tooLong := d.step(ledger.ChainRequested{Turn: "t4", MaxBytes: size - 1})[0].(ledger.Reply).Response
	assert.Equal(t, ledgerpb.Status_STATUS_TOO_LONG, tooLong.GetStatus())
	assert.Equal(t, size, tooLong.GetChainBytes())
}

func TestSegmentIsDroppedWhenItsProgramsHaveExpired(t *testing.T) {
	d := newDisk(true)
	d.append(turnRecord("old", "t1", ""))
	d.append(turnRecord("busy", "u1", ""))
	d.segment, d.offset = 2, 0
	d.now = d.now.Add(50 * time.Second)
	d.append(turnRecord("busy", "u2", "u1"))
	d.now = d.now.Add(30 * time.Second)
	assert.Empty(t, d.step(ledger.Tick{}), "program busy still needs its first turn, in segment 1")
	assert.IsType(t, ledger.Reply{}, d.step(ledger.ChainRequested{Turn: "t1"})[0], "program old has expired")
	assert.IsType(t, ledger.ReplyChain{}, d.step(ledger.ChainRequested{Turn: "u2"})[0])
	d.segment, d.offset = 3, 0
	d.append(turnRecord("new", "v1", ""))
	d.now = d.now.Add(70 * time.Second)
	dropped := d.step(ledger.Tick{})
	assert.ElementsMatch(t, []ledger.Effect{ledger.DropSegment{Segment: 1}, ledger.DropSegment{Segment: 2}}, dropped)
}

func TestRecordsLoadedAtStartAffectBudget(t *testing.T) {
	d := newDisk(true)
	d.step(ledger.Loaded{Summary: summary(t, ledger.NewReservation("p", "a", 300, retention)), Location: ledger.Location{Segment: 1}})
	d.step(ledger.Loaded{Summary: summary(t, ledger.NewSettlement("p", "a", 7, "")), Location: ledger.Location{Segment: 1, Offset: 9}})
	assert.Equal(t, 7, spending(d.append(ledger.NewReservation("p", "b", 1, retention))).Committed("b"))
	assert.Equal(t, 3, d.replica.Records())
}

// A damaged record is missing until it is copied from another member, which makes the
// replica ready again. The spending that it stated remains.
func TestDamagedRecordIsStoredAgain(t *testing.T) {
	d := newDisk(true)
	d.append(ledger.NewSettlement("p", "a", 7, ""))
	d.append(turnRecord("p", "t1", ""))
	d.append(turnRecord("p", "t2", "t1"))
	chain := d.step(ledger.ChainRequested{Turn: "t2"})[0].(ledger.ReplyChain)
	d.step(ledger.Damaged{Locations: chain.Locations[:1]})
	assert.False(t, d.replica.Ready())
	assert.Equal(t, 2, d.replica.Records())
	assert.Equal(t, "t1", d.step(ledger.ChainRequested{Turn: "t2"})[0].(ledger.ReplyChain).Missing)
	d.step(ledger.Recovered{})
	unknown := d.step(ledger.ChainRequested{Turn: "t1"})[0].(ledger.Reply).Response
	assert.Equal(t, ledgerpb.Status_STATUS_RECOVERING, unknown.GetStatus(), "the copying began before the damage was found")
	d.append(turnRecord("p", "t1", ""))
	d.step(ledger.Recovered{Damages: 1})
	assert.True(t, d.replica.Ready())
	assert.Len(t, d.step(ledger.ChainRequested{Turn: "t2"})[0].(ledger.ReplyChain).Locations, 2)
	assert.Equal(t, 7, spending(d.append(ledger.NewReservation("p", "b", 1, retention))).Committed("b"))
}

// After the next start the disk has both copies of a record that was damaged.
func TestNewerCopyReplacesDamagedOneAtStart(t *testing.T) {
	d := newDisk(true)
	s := summary(t, turnRecord("p", "t1", ""))
	d.step(ledger.Loaded{Summary: s, Location: ledger.Location{Segment: 1}})
	newer := ledger.Location{Segment: 2, Offset: 5}
	d.step(ledger.Loaded{Summary: s, Location: newer})
	assert.Equal(t, []ledger.Location{newer}, d.step(ledger.ChainRequested{Turn: "t1"})[0].(ledger.ReplyChain).Locations)
	assert.Equal(t, []ledger.Effect{ledger.DropSegment{Segment: 1}}, d.step(ledger.Tick{}))
}

func TestIndexFrameKeepsSummaries(t *testing.T) {
	var records []ledger.Indexed
	for i, rec := range []*ledgerpb.Record{
		ledger.NewReservation("p", "a", 300, retention), ledger.NewSettlement("p", "a", 7, "i1"),
		ledger.NewOrigin("p", "a", 99, 2, retention),
		turnRecord("p", "t1", ""), turnRecord("q", "t2", "t1"),
	} {
		records = append(records, ledger.Indexed{Summary: summary(t, rec), Length: uint32(i)})
	}
	frame := ledger.EncodeFrame(records)
	var decoded []ledger.Indexed
	require.NoError(t, ledger.DecodeFrame(frame, func(r ledger.Indexed) { decoded = append(decoded, r) }))
	assert.Equal(t, records, decoded)
	frame.Programs[0] = uint32(len(frame.Names))
	assert.Error(t, ledger.DecodeFrame(frame, func(ledger.Indexed) { t.Error("a malformed frame was visited") }))
	frame.Programs = frame.Programs[1:]
	assert.Error(t, ledger.DecodeFrame(frame, func(ledger.Indexed) { t.Error("a malformed frame was visited") }))
}

// A stream goes on only at the software that began it, whichever members know of it and in
// whichever order they learned (ORDER, second1 on bancarella-prod).
func TestLatestSoftwareOfAttemptIsMerged(t *testing.T) {
	reserved := ledger.NewReservation("p", "a", 300, retention)
	reserved.GetReservation().Software = 1
	records := []*ledgerpb.Record{
		reserved, ledger.NewOrigin("p", "a", 2, 1, retention), ledger.NewOrigin("p", "a", 3, 2, retention), ledger.NewSettlement("p", "a", 7, "i1"),
	}
	for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {2, 0, 3, 1}} {
		merged, one := &ledger.Spending{}, newDisk(true)
		for _, i := range order {
			another := newDisk(true)
			for _, d := range []*disk{one, another} {
				d.append(records[i])
			}
			merged.Merge(another.append(ledger.NewReservation("p", "probe", 0, retention)).GetBudgets()[0])
		}
		for _, s := range []*ledger.Spending{merged, spending(one.append(ledger.NewReservation("p", "probe", 0, retention)))} {
			software, ok := s.Software("a")
			assert.True(t, ok)
			assert.EqualValues(t, 3, software)
			assert.Equal(t, []uint64{3}, s.Softwares())
			assert.Equal(t, 7, s.Committed("other"))
			_, ok = s.Software("other")
			assert.False(t, ok)
		}
	}
}

// A member that knows only the origin of an attempt must not hide what it has reserved.
func TestOriginKeepsReservedTokens(t *testing.T) {
	one, two, merged := newDisk(true), newDisk(true), &ledger.Spending{}
	probe := ledger.NewReservation("p", "probe", 0, retention)
	one.append(ledger.NewReservation("p", "a", 300, retention))
	two.append(ledger.NewOrigin("p", "a", 2, 1, retention))
	merged.Merge(one.append(probe).GetBudgets()[0])
	merged.Merge(two.append(probe).GetBudgets()[0])
	assert.Equal(t, 300, merged.Committed("other"))
}

// Members are replaced in place, on disks whose index was written before the software of
// attempts was recorded. They did not start any more.
func TestIndexFrameWithoutSoftwareIsRead(t *testing.T) {
	records := []ledger.Indexed{{Summary: summary(t, ledger.NewReservation("p", "a", 300, retention)), Length: 5}}
	frame := ledger.EncodeFrame(records)
	frame.Softwares, frame.Sequences = nil, nil
	var decoded []ledger.Indexed
	require.NoError(t, ledger.DecodeFrame(frame, func(r ledger.Indexed) { decoded = append(decoded, r) }))
	assert.Equal(t, records, decoded)
	frame.Softwares = []uint64{1, 2}
	assert.Error(t, ledger.DecodeFrame(frame, func(ledger.Indexed) { t.Error("a malformed frame was visited") }))
}

// A turn that continued another program's turn could not be continued any more once that program
// had expired (review of the ledger: 8 of 8 tries, 35 s after the turn).
func TestChainIsStoredAsLongAsTurnsThatContinueIt(t *testing.T) {
	turn := func(program, id, previous string) *ledgerpb.Record {
		return ledger.NewTurn(&ledgerpb.Turn{Program: program, Id: id, Previous: previous, RetentionMs: 60_000})
	}
	chain := func(d *disk, id string) int {
		reply, ok := d.step(ledger.ChainRequested{Turn: id})[0].(ledger.ReplyChain)
		if !ok || reply.Missing != "" {
			return 0
		}
		return len(reply.Locations)
	}
	inOrder, late := newDisk(true), newDisk(true)
	for _, records := range [][]*ledgerpb.Record{{turn("one", "t1", "")}, {turn("two", "t2", "t1")}, {turn("three", "t3", "t2")}} {
		inOrder.append(records...)
		inOrder.now = inOrder.now.Add(50 * time.Second)
	}
	// A member that was away gets the turns in any order, here the last one first.
	end := inOrder.now
	late.now = end.Add(-50 * time.Second)
	late.append(turn("three", "t3", "t2"))
	late.append(turn("two", "t2", "t1"), turn("one", "t1", ""))
	for _, d := range []*disk{inOrder, late} {
		d.now = end.Add(20 * time.Second)
		d.step(ledger.Tick{})
		assert.Equal(t, 3, chain(d, "t3"))
		d.now = d.now.Add(time.Minute)
		d.step(ledger.Tick{})
		assert.Zero(t, chain(d, "t3"), "it expires in the end")
		assert.Zero(t, d.replica.Programs())
	}
}

// A client used one id for turns of two programs. Reading the chain that goes round ended members
// by their memory.
func TestChainWithoutEndIsTooLong(t *testing.T) {
	r := ledger.NewReplica(true)
	for i, turn := range []*ledgerpb.Turn{{Program: "p", Id: "x"}, {Program: "p", Id: "y", Previous: "x"}, {Program: "q", Id: "x", Previous: "y"}} {
		summary, ok := ledger.Summarize(ledger.NewTurn(turn))
		require.True(t, ok)
		r.Step(ledger.Loaded{Summary: summary, Location: ledger.Location{Segment: 1, Offset: uint32(i), Length: 1}}, time.Now())
	}
	for _, turn := range []string{"x", "y"} {
		reply := r.Step(ledger.ChainRequested{Turn: turn, MaxBytes: 1 << 30}, time.Now())[0].(ledger.Reply)
		assert.Equal(t, ledgerpb.Status_STATUS_TOO_LONG, reply.Response.GetStatus())
	}
}

// retentionOf returns what a replica answers to others about a program.
func (d *disk) retentionOf(program string) ledger.ExpiryAnswer {
	response := d.step(ledger.RetentionsRequested{Programs: []string{program}})[0].(ledger.Reply).Response
	return ledger.ExpiryAnswer{ReceivedAt: d.now, Retentions: response.GetRetentions()}
}

// A member that had missed the later records of a program dropped the earlier ones, which it had
// acknowledged (review/12: LOST, BUDGET).
func TestProgramExpiresOnlyOnceAQuorumKnows(t *testing.T) {
	one, two := newDisk(true), newDisk(true)
	for _, d := range []*disk{one, two} {
		d.append(ledger.NewReservation("p", "a", 300, retention), turnRecord("p", "t1", ""))
		d.now = d.now.Add(50 * time.Second)
	}
	two.append(turnRecord("p", "t2", "t1"))
	one.now, two.now = one.now.Add(50*time.Second), two.now.Add(50*time.Second)
	due := one.replica.Step(ledger.Tick{}, one.now)[0].(ledger.ExpiryDue)
	assert.Equal(t, []string{"p"}, due.Programs)
	one.step(ledger.ExpiryAnswered{Due: due, Quorum: 2, Counts: true})
	assert.Equal(t, 2, one.replica.Records(), "no other member has answered")
	one.step(ledger.ExpiryAnswered{Due: due, Quorum: 2, Counts: true, Answers: []ledger.ExpiryAnswer{two.retentionOf("p")}})
	assert.Equal(t, 2, one.replica.Records(), "another member has got a record since")
	assert.Equal(t, 300, spending(one.append(ledger.NewReservation("p", "b", 1, retention))).Committed("b"))
	one.now, two.now = one.now.Add(80*time.Second), two.now.Add(80*time.Second)
	due = one.replica.Step(ledger.Tick{}, one.now)[0].(ledger.ExpiryDue)
	one.step(ledger.ExpiryAnswered{Due: due, Quorum: 2, Counts: true, Answers: []ledger.ExpiryAnswer{two.retentionOf("p")}})
	assert.Zero(t, one.replica.Records())
}

// The answer of a replica that has lost its disk, or is damaged, says nothing of what it lacks.
func TestDamagedReplicaExpiresNothingAlone(t *testing.T) {
	d := newDisk(true)
	d.append(turnRecord("p", "t1", ""))
	d.now = d.now.Add(100 * time.Second)
	due := d.replica.Step(ledger.Tick{}, d.now)[0].(ledger.ExpiryDue)
	d.step(ledger.Outdated{})
	d.step(ledger.ExpiryAnswered{Due: due, Quorum: 1, Counts: true})
	assert.Equal(t, 1, d.replica.Records())
}

// A turn was acknowledged by members that lacked the turns before it, and only one disk had those.
func TestTurnIsAcknowledgedOnlyWithItsChain(t *testing.T) {
	d := newDisk(true)
	turn := turnRecord("p", "t3", "t2")
	effects := d.step(ledger.AppendRequested{RequestID: 1, Records: []*ledgerpb.Record{turn}})
	assert.Equal(t, ledgerpb.Status_STATUS_RECOVERING, effects[0].(ledger.Reply).Response.GetStatus())
	assert.Equal(t, ledger.ChainNeeded{Turn: "t2"}, effects[1])
	await := func() *ledgerpb.Response {
		s := summary(t, turn)
		return d.step(ledger.RecordsAwaited{Keys: []uint64{uint64(s.Key)}})[0].(ledger.Reply).Response
	}
	assert.Equal(t, ledgerpb.Status_STATUS_RECOVERING, await().GetStatus(), "forwarded records count no more than appended ones")
	d.step(ledger.AppendRequested{Records: []*ledgerpb.Record{turnRecord("q", "t1", ""), turnRecord("p", "t2", "t1")}, AreCopies: true})
	assert.Equal(t, ledgerpb.Status_STATUS_OK, await().GetStatus())
	assert.Equal(t, ledgerpb.Status_STATUS_OK, d.append(turn).GetStatus())
	assert.Len(t, d.step(ledger.KeysRequested{Chain: "t2"})[0].(ledger.Reply).Response.GetKeys(), 2)
}

// The programs of a chain may be removed one after the other.
func TestTurnIsNotAcknowledgedOnceItsChainWasRemoved(t *testing.T) {
	d := newDisk(true)
	d.append(turnRecord("p", "t1", ""))
	d.append(turnRecord("q", "t2", "t1"))
	d.now = d.now.Add(100 * time.Second)
	d.step(ledger.ExpiryAnswered{Due: ledger.ExpiryDue{At: d.now, Programs: []string{"p"}}, Quorum: 1, Counts: true})
	assert.Equal(t, ledgerpb.Status_STATUS_RECOVERING, d.append(turnRecord("q", "t3", "t2")).GetStatus())
}

// Copies do not restart the retention: members that copied expired records from each other would
// store them for good.
func TestCopiedRecordsExpireWithTheOthers(t *testing.T) {
	d := newDisk(true)
	d.append(turnRecord("p", "t1", ""))
	d.now = d.now.Add(70 * time.Second)
	d.step(ledger.AppendRequested{Records: []*ledgerpb.Record{turnRecord("p", "t2", "t1"), turnRecord("q", "u1", "")}, AreCopies: true})
	assert.Equal(t, 2, d.replica.Programs())
	d.now = d.now.Add(10 * time.Second)
	d.step(ledger.Tick{})
	assert.Zero(t, d.replica.Programs())
}

// A record that was written while its program expired was acknowledged, and its spending forgotten.
func TestRecordOutlastsExpiryDuringItsWrite(t *testing.T) {
	d := newDisk(true)
	write := d.replica.Step(ledger.AppendRequested{Records: []*ledgerpb.Record{ledger.NewReservation("p", "a", 300, retention)}}, d.now)[0].(ledger.Write)
	d.now = d.now.Add(100 * time.Second)
	d.step(ledger.Tick{})
	d.step(d.complete(write))
	d.now = d.now.Add(10 * time.Second)
	d.step(ledger.Tick{})
	assert.Equal(t, 1, d.replica.Records())
	assert.Equal(t, 300, spending(d.append(ledger.NewReservation("p", "b", 1, retention))).Committed("b"))
}
