package member

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/segment"
)

// writeDisk writes the records of many programs to a new disk. With an index, all records
// but those of the last batch are indexed.
func writeDisk(tb testing.TB, programs, textBytes int, indexed bool) (dir string, records int) {
	tb.Helper()
	dir = tb.TempDir()
	require.NoError(tb, writeIdentity(dir, identity{Member: "m1", Incarnation: 1, Complete: true}))
	disk, _, err := segment.Open(filepath.Join(dir, "segments"), segment.Visitor{})
	require.NoError(tb, err)
	m := &Member{disk: disk}
	text := make([]byte, textBytes)
	for p := range programs {
		program, previous := fmt.Sprintf("program-%08d", p), ""
		var batch []*ledgerpb.Record
		for t := range 4 {
			id := fmt.Sprintf("%s/%d", program, t)
			batch = append(batch, ledger.NewReservation(program, id, 100, 60_000), ledger.NewSettlement(program, id, 50, "i1"),
				ledger.NewTurn(&ledgerpb.Turn{Program: program, Id: id, Previous: previous, Input: text, RetentionMs: 60_000}))
			previous = id
		}
		payloads := make([][]byte, len(batch))
		for i, rec := range batch {
			payloads[i], err = proto.Marshal(rec)
			require.NoError(tb, err)
		}
		if indexed && p == programs-1 {
			m.flushIndex()
		}
		locations, err := disk.Append(payloads)
		require.NoError(tb, err)
		for i, rec := range batch {
			summary, _ := ledger.Summarize(rec)
			m.index.add(summary, locations[i])
		}
		records += len(batch)
	}
	require.NoError(tb, disk.Close())
	return dir, records
}

// openDisk opens a member with the disk in dir and returns its replica's state as seen by
// requests.
func openDisk(tb testing.TB, dir string) *Member {
	tb.Helper()
	m := &Member{options: Options{Name: "m1", Dir: dir}, log: quietLogger()}
	require.NoError(tb, m.loadDisk())
	tb.Cleanup(func() { _ = m.disk.Close() })
	return m
}

// A member that restarts with an index has the same state as one that reads all records,
// and reads only the records that the index lacks.
func TestRestartWithIndexRestoresSameState(t *testing.T) {
	indexed, records := writeDisk(t, 40, 100, true)
	plain, _ := writeDisk(t, 40, 100, false)
	state := func(dir string) (budgets []*ledgerpb.Response, chains []ledger.Effect) {
		m := openDisk(t, dir)
		require.True(t, m.Ready())
		require.Equal(t, records, m.replica.Records())
		for p := range 40 {
			program := fmt.Sprintf("program-%08d", p)
			known := ledger.NewReservation(program, program+"/0", 100, 60_000)
			reply := m.replica.Step(ledger.AppendRequested{Records: []*ledgerpb.Record{known}}, time.Now())
			budgets = append(budgets, reply[0].(ledger.Reply).Response)
			chains = append(chains, m.replica.Step(ledger.ChainRequested{Turn: program + "/3"}, time.Now())...)
		}
		return budgets, chains
	}
	wantBudgets, wantChains := state(plain)
	gotBudgets, gotChains := state(indexed)
	assert.Equal(t, wantChains, gotChains)
	for i := range wantBudgets {
		assert.Equal(t, spendingOf(wantBudgets[i]), spendingOf(gotBudgets[i]))
	}
	// The disk of a member without an index is read as before and gets one.
	require.NoFileExists(t, filepath.Join(plain, "segments", "00000001.idx"))
	m := openDisk(t, plain)
	m.flushIndex()
	require.FileExists(t, filepath.Join(plain, "segments", "00000001.idx"))
	reopened := openDisk(t, plain)
	assert.Empty(t, reopened.index.take())
	assert.Equal(t, records, reopened.replica.Records())
}

func spendingOf(response *ledgerpb.Response) *ledger.Spending {
	s := &ledger.Spending{}
	for _, b := range response.GetBudgets() {
		s.Merge(b)
	}
	return s
}

// A damaged record behind an index is found when it is read or verified. The member then
// counts towards no quorum until it has copied the record.
func TestDamageBehindIndexMakesMemberIncomplete(t *testing.T) {
	dir, _ := writeDisk(t, 2, 100, true)
	file, err := os.OpenFile(filepath.Join(dir, "segments", "00000001.log"), os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = file.WriteAt([]byte("rot"), 20)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	m, err := Open(Options{Name: "m1", Addr: "127.0.0.1:0", Dir: dir, Log: quietLogger(), Directory: emptyDirectory()})
	require.NoError(t, err)
	require.True(t, m.Ready())
	m.verifyRecords(context.Background())
	require.NoError(t, m.reconcileSeat(context.Background()))
	assert.False(t, m.Ready())
	id, err := readIdentity(dir)
	require.NoError(t, err)
	assert.False(t, id.Complete)
	require.Eventually(t, func() bool {
		return request(t, m, appendEvent(ledger.NewReservation("program-00000000", "program-00000000/1", 100, 60_000))).GetStatus() == ledgerpb.Status_STATUS_RECOVERING
	}, 10*time.Second, time.Millisecond)
}

// A segment file that lost indexed records is indexed anew. The member must still know
// after another restart that its disk lacks records.
func TestLostRecordsAreRememberedAcrossRestarts(t *testing.T) {
	dir, _ := writeDisk(t, 40, 100, true)
	require.NoError(t, os.Truncate(filepath.Join(dir, "segments", "00000001.log"), 500))
	m := openDisk(t, dir)
	require.False(t, m.Ready())
	m.flushIndex()
	assert.False(t, openDisk(t, dir).Ready(), "the process was killed before it had copied the records")
}

// A disk that lost indexed records after it was marked, before the member's seat counted, would
// otherwise count as complete once the member reads the view.
func TestLostRecordsEndTheMark(t *testing.T) {
	dir, _ := writeDisk(t, 40, 100, true)
	require.NoError(t, writeIdentity(dir, identity{Member: "m1", Incarnation: 1, CompleteFrom: 4}))
	assert.Equal(t, uint64(4), openDisk(t, dir).identity.CompleteFrom)
	require.NoError(t, os.Truncate(filepath.Join(dir, "segments", "00000001.log"), 500))
	id := openDisk(t, dir).identity
	assert.NotEqual(t, uint64(1), id.Incarnation, "no other member may rely on what this disk had")
	assert.Equal(t, identity{Member: "m1", Incarnation: id.Incarnation}, id)
}

// benchmarkRecords is the size of the disk in BenchmarkLoadDisk.
const benchmarkRecords = 200_000

func BenchmarkLoadDisk(b *testing.B) {
	for _, indexed := range []bool{true, false} {
		b.Run(fmt.Sprintf("indexed=%t", indexed), func(b *testing.B) {
			dir, records := writeDisk(b, benchmarkRecords/12, 15_000, indexed)
			b.ReportAllocs()
			for b.Loop() {
				m := &Member{options: Options{Name: "m1", Dir: dir}, log: quietLogger()}
				if err := m.loadDisk(); err != nil || m.replica.Records() != records {
					b.Fatal(err, m.replica.Records())
				}
				_ = m.disk.Close()
			}
		})
	}
}
