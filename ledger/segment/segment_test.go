package segment_test

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/segment"
)

func open(t *testing.T, dir string) (log *segment.Log, records []string, damaged bool) {
	t.Helper()
	log, frames, records, damaged := openIndexed(t, dir)
	require.Empty(t, frames)
	return log, records, damaged
}

// openIndexed also returns the content of the index frames.
func openIndexed(t *testing.T, dir string) (log *segment.Log, frames, records []string, damaged bool) {
	t.Helper()
	log, damaged, err := segment.Open(dir, segment.Visitor{
		Frame: func(_ segment.Range, content []byte) error {
			frames = append(frames, string(content))
			return nil
		},
		Record: func(_ ledger.Location, payload []byte) error {
			records = append(records, string(payload))
			return nil
		},
	})
	require.NoError(t, err)
	return log, frames, records, damaged
}

func payloads(texts ...string) [][]byte {
	var all [][]byte
	for _, text := range texts {
		all = append(all, []byte(text))
	}
	return all
}

func firstFile(dir string) string { return filepath.Join(dir, "00000001.log") }

func TestRecordsSurviveARestart(t *testing.T) {
	dir := t.TempDir()
	log, _, _ := open(t, dir)
	_, err := log.Append(payloads("one", "two"))
	require.NoError(t, err)
	at, err := log.Append(payloads("three"))
	require.NoError(t, err)
	read, err := log.Read(at[0])
	require.NoError(t, err)
	assert.Equal(t, "three", string(read))
	require.NoError(t, log.Close())

	log, records, damaged := open(t, dir)
	assert.Equal(t, []string{"one", "two", "three"}, records)
	assert.False(t, damaged)
	read, err = log.Read(at[0])
	require.NoError(t, err)
	assert.Equal(t, "three", string(read))
}

// After a power failure any prefix of the unsynced bytes may be on the disk.
func TestTornTailIsCutAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	log, _, _ := open(t, dir)
	_, err := log.Append(payloads("kept"))
	require.NoError(t, err)
	intact, err := os.Stat(firstFile(dir))
	require.NoError(t, err)
	_, err = log.Append(payloads("torn record"))
	require.NoError(t, err)
	require.NoError(t, log.Close())
	data, err := os.ReadFile(firstFile(dir))
	require.NoError(t, err)
	for size := int(intact.Size()); size < len(data); size++ {
		torn := t.TempDir()
		require.NoError(t, os.WriteFile(firstFile(torn), data[:size], 0o600))
		log, records, damaged := open(t, torn)
		assert.Equal(t, []string{"kept"}, records, "%d bytes left", size)
		assert.False(t, damaged, "the torn record was not acknowledged")
		_, err := log.Append(payloads("next"))
		require.NoError(t, err)
		require.NoError(t, log.Close())
		_, records, _ = open(t, torn)
		assert.Equal(t, []string{"kept", "next"}, records)
	}
}

func TestRecordsAfterHoleAreIgnored(t *testing.T) {
	dir := t.TempDir()
	log, _, _ := open(t, dir)
	_, err := log.Append(payloads("kept"))
	require.NoError(t, err)
	hole, err := log.Append(payloads("missing"))
	require.NoError(t, err)
	_, err = log.Append(payloads("present"))
	require.NoError(t, err)
	require.NoError(t, log.Close())
	file, err := os.OpenFile(firstFile(dir), os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = file.WriteAt(make([]byte, hole[0].Length), int64(hole[0].Offset))
	require.NoError(t, err)
	require.NoError(t, file.Close())
	_, records, _ := open(t, dir)
	assert.Equal(t, []string{"kept"}, records)
}

func TestDamageInEarlierFileIsReported(t *testing.T) {
	dir := t.TempDir()
	log, _, _ := open(t, dir)
	big := string(make([]byte, 9<<20))
	for range 3 {
		_, err := log.Append(payloads("x" + big))
		require.NoError(t, err)
	}
	require.NoError(t, log.Close())
	_, records, damaged := open(t, dir)
	assert.Len(t, records, 3)
	assert.False(t, damaged)
	file, err := os.OpenFile(firstFile(dir), os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = file.WriteAt([]byte("rot"), 100)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	_, _, damaged = open(t, dir)
	assert.True(t, damaged)
}

func TestDropRemovesFile(t *testing.T) {
	dir := t.TempDir()
	log, _, _ := open(t, dir)
	at, err := log.Append(payloads("one"))
	require.NoError(t, err)
	require.NoError(t, log.Drop(at[0].Segment))
	_, err = log.Read(at[0])
	assert.ErrorIs(t, err, os.ErrNotExist)
	_, err = os.Stat(firstFile(dir))
	assert.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, log.Drop(at[0].Segment), "a second drop is a no-op")
}

// Callers wait while a member reads its disk after a loss of power. Buffers for each record of a
// turn's text cost a collection of the whole heap every few hundred records.
func TestScanReusesItsBuffer(t *testing.T) {
	const records, size = 64, 64 << 10
	dir := t.TempDir()
	log, _, _ := open(t, dir)
	for range records {
		_, err := log.Append([][]byte{make([]byte, size)})
		require.NoError(t, err)
	}
	require.NoError(t, log.Close())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	count := 0
	log, _, err := segment.Open(dir, segment.Visitor{Record: func(_ ledger.Location, payload []byte) error {
		count++
		assert.Len(t, payload, size)
		return nil
	}})
	runtime.ReadMemStats(&after)
	require.NoError(t, err)
	require.NoError(t, log.Close())
	assert.Equal(t, records, count)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(records*size/4))
}
