package segment_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/segment"
)

func indexOfFirst(dir string) string { return filepath.Join(dir, "00000001.idx") }

// appendIndexed appends a record and a frame that describes it with the record's text.
func appendIndexed(t *testing.T, log *segment.Log, text string) ledger.Location {
	t.Helper()
	at, err := log.Append(payloads(text))
	require.NoError(t, err)
	require.NoError(t, log.AppendIndex(segment.RangeOf(at[0]), []byte(text)))
	return at[0]
}

// writeIndexed returns a directory with two records that the index describes and one that
// it does not.
func writeIndexed(t *testing.T) (dir string, locations []ledger.Location) {
	t.Helper()
	dir = t.TempDir()
	log, _, _ := open(t, dir)
	locations = append(locations, appendIndexed(t, log, "one"), appendIndexed(t, log, "two"))
	at, err := log.Append(payloads("three"))
	require.NoError(t, err)
	require.NoError(t, log.Close())
	return dir, append(locations, at[0])
}

func TestIndexedRecordsAreNotRead(t *testing.T) {
	dir, at := writeIndexed(t)
	log, frames, records, damaged := openIndexed(t, dir)
	assert.Equal(t, []string{"one", "two"}, frames)
	assert.Equal(t, []string{"three"}, records)
	assert.False(t, damaged)
	require.NoError(t, log.AppendIndex(segment.RangeOf(at[2]), []byte("three")))
	appendIndexed(t, log, "four")
	require.NoError(t, log.Close())
	_, frames, records, _ = openIndexed(t, dir)
	assert.Equal(t, []string{"one", "two", "three", "four"}, frames)
	assert.Empty(t, records)
}

// A power failure may leave any prefix of the last frame, which the next one replaces.
func TestTornIndexIsCutAtEveryByte(t *testing.T) {
	dir, at := writeIndexed(t)
	index, err := os.ReadFile(indexOfFirst(dir))
	require.NoError(t, err)
	for size := range index {
		require.NoError(t, os.WriteFile(indexOfFirst(dir), index[:size], 0o600))
		log, frames, records, damaged := openIndexed(t, dir)
		assert.Equal(t, []string{"one", "two", "three"}, append(frames, records...), "%d bytes left", size)
		assert.False(t, damaged)
		for _, missing := range at[len(frames):] {
			require.NoError(t, log.AppendIndex(segment.RangeOf(missing), []byte("again")))
		}
		require.NoError(t, log.Close())
		_, frames, records, _ = openIndexed(t, dir)
		assert.Len(t, frames, 3)
		assert.Empty(t, records)
	}
}

func TestChangedIndexIsNotUsed(t *testing.T) {
	dir, _ := writeIndexed(t)
	index, err := os.ReadFile(indexOfFirst(dir))
	require.NoError(t, err)
	for i := range index {
		changed := append([]byte(nil), index...)
		changed[i] ^= 0x20
		require.NoError(t, os.WriteFile(indexOfFirst(dir), changed, 0o600))
		_, frames, records, damaged := openIndexed(t, dir)
		assert.Equal(t, []string{"one", "two", "three"}, append(frames, records...), "byte %d changed", i)
		assert.False(t, damaged)
	}
}

// A segment file that ends before the records that its index describes has lost synced
// records.
func TestLossOfIndexedRecordsIsReported(t *testing.T) {
	dir, at := writeIndexed(t)
	require.NoError(t, os.Truncate(firstFile(dir), int64(at[1].Offset)))
	log, frames, records, damaged := openIndexed(t, dir)
	assert.Empty(t, frames)
	assert.Equal(t, []string{"one"}, records)
	assert.True(t, damaged)
	require.NoError(t, log.AppendIndex(segment.RangeOf(at[0]), []byte("one")))
	require.NoError(t, log.Close())
	_, frames, _, damaged = openIndexed(t, dir)
	assert.Equal(t, []string{"one"}, frames)
	assert.False(t, damaged)
}

func TestDamagedIndexedRecordIsNotServed(t *testing.T) {
	dir, at := writeIndexed(t)
	file, err := os.OpenFile(firstFile(dir), os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = file.WriteAt([]byte("x"), int64(at[0].Offset))
	require.NoError(t, err)
	require.NoError(t, file.Close())
	log, _, _, _ := openIndexed(t, dir)
	_, err = log.Read(at[0])
	assert.ErrorIs(t, err, segment.ErrDamaged)
	read, err := log.Read(at[1])
	require.NoError(t, err)
	assert.Equal(t, "two", string(read))
}

func TestIndexHasNoGapsAndEndsWithItsSegment(t *testing.T) {
	dir, at := writeIndexed(t)
	log, _, _, _ := openIndexed(t, dir)
	require.Error(t, log.AppendIndex(segment.RangeOf(at[0]), []byte("one")))
	require.NoError(t, log.Drop(1))
	require.NoError(t, log.AppendIndex(segment.RangeOf(at[2]), []byte("three")))
	assert.NoFileExists(t, indexOfFirst(dir))
	require.NoError(t, os.WriteFile(indexOfFirst(dir), []byte("RSIX0001"), 0o600))
	_, _, records, _ := openIndexed(t, dir)
	assert.Empty(t, records)
	assert.NoFileExists(t, indexOfFirst(dir), "an index without its segment is removed")
}
