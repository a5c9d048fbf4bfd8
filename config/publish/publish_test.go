package publish

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

var errResponseLost = errors.New("response lost")

// fakeStore is an in-memory key-value service that can lose requests and responses.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	records  map[string]core.StoreRecord
	// loseHeadResponses is the number of writes of the head that take effect and whose
	// responses are lost; dropHeadWrites is the number of writes that take no effect.
	loseHeadResponses, dropHeadWrites int
	// beforeHeadWrite runs once before the next write of the head.
	beforeHeadWrite func()
}

func newFakeStore() *fakeStore { return &fakeStore{records: map[string]core.StoreRecord{}} }

func (s *fakeStore) Get(_ context.Context, key string) (core.StoreRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key], nil
}

func (s *fakeStore) Range(_ context.Context, prefix string) ([]core.StoreRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []core.StoreRecord
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) {
			out = append(out, record)
		}
	}
	return out, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, revision int64, value []byte) (bool, error) {
	if key == core.ConfigHeadKey && s.beforeHeadWrite != nil {
		hook := s.beforeHeadWrite
		s.beforeHeadWrite = nil
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == core.ConfigHeadKey && s.dropHeadWrites > 0 {
		s.dropHeadWrites--
		return false, errResponseLost
	}
	if s.records[key].Revision != revision {
		return false, nil
	}
	s.revision++
	s.records[key] = core.StoreRecord{Key: key, Value: slices.Clone(value), Revision: s.revision}
	if key == core.ConfigHeadKey && s.loseHeadResponses > 0 {
		s.loseHeadResponses--
		return false, errResponseLost
	}
	return true, nil
}

func exampleSet(t *testing.T) *config.Set {
	t.Helper()
	set, err := load.Set(filepath.Join("..", "..", "examples", "bancarella"))
	require.NoError(t, err)
	return set
}

func setWithMaxTurns(t *testing.T, turns uint32) *config.Set {
	set := exampleSet(t)
	set.Programs[0].MaxTurns = turns
	return set
}

func TestAppliedSetIsReadBack(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	result, err := Apply(ctx, store, exampleSet(t), "anna")
	require.NoError(t, err)
	require.EqualValues(t, 1, result.Head.Generation)
	set, err := ReadSet(ctx, store, result.Head)
	require.NoError(t, err)
	require.Equal(t, exampleSet(t), set)
	again, err := Apply(ctx, store, exampleSet(t), "bruno")
	require.NoError(t, err)
	require.True(t, again.Unchanged)
	require.EqualValues(t, 1, again.Head.Generation)
}

func TestConcurrentApplyFailsWithConflict(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	store.beforeHeadWrite = func() {
		_, err := Apply(ctx, store, setWithMaxTurns(t, 7), "bruno")
		require.NoError(t, err)
	}
	_, err := Apply(ctx, store, setWithMaxTurns(t, 8), "anna")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "bruno", conflict.Winner.By)
	head, _, err := ReadHead(ctx, store)
	require.NoError(t, err)
	require.EqualValues(t, 1, head.Generation)
}

func TestApplySucceedsDespiteLostResponse(t *testing.T) {
	tests := []struct {
		name       string
		lose, drop int
	}{
		{"took effect", 1, 0},
		{"did not take effect", 0, 1},
		{"first lost without effect, then took effect", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, store := context.Background(), newFakeStore()
			store.loseHeadResponses, store.dropHeadWrites = tt.lose, tt.drop
			result, err := Apply(ctx, store, exampleSet(t), "anna")
			require.NoError(t, err)
			head, _, err := ReadHead(ctx, store)
			require.NoError(t, err)
			require.Equal(t, result.Head.Proposal, head.Proposal)
			require.EqualValues(t, 1, head.Generation)
		})
	}
}

// TestApplySucceedsIfReplacedBeforeReadBack covers an apply that took effect, but
// whose response was lost and whose head was replaced before it could be read back.
// The apply must report success.
func TestApplySucceedsIfReplacedBeforeReadBack(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	first := Head{Generation: 1, Digest: "d1", Proposal: "p1", By: "anna"}
	store.loseHeadResponses = 1
	replacing := &replacingStore{fakeStore: store, t: t}
	_, err := replaceHead(ctx, replacing, first, 0)
	require.NoError(t, err)
	heads, err := History(ctx, store)
	require.NoError(t, err)
	require.Len(t, heads, 2)
	require.Equal(t, "bruno", heads[0].By)
	require.Equal(t, "anna", heads[1].By)
}

// replacingStore replaces the head once more after the first write whose response
// is lost.
type replacingStore struct {
	*fakeStore
	t        *testing.T
	replaced bool
}

func (s *replacingStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error) {
	ok, err := s.fakeStore.CompareAndSwap(ctx, key, revision, value)
	if err != nil && !s.replaced {
		s.replaced = true
		head, record, readErr := ReadHead(ctx, s.fakeStore)
		require.NoError(s.t, readErr)
		require.NoError(s.t, archiveHead(ctx, s.fakeStore, head, record))
		next := Head{Generation: 2, Digest: "d2", Parent: "d1", Proposal: "p2", By: "bruno"}
		_, swapErr := replaceHead(ctx, s.fakeStore, next, record.Revision)
		require.NoError(s.t, swapErr)
	}
	return ok, err
}

func TestApplyRejectsChangedNumberOfSlots(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	_, err := Apply(ctx, store, exampleSet(t), "anna")
	require.NoError(t, err)
	changed := exampleSet(t)
	changed.Ownership.Slots = 128
	_, err = Apply(ctx, store, changed, "anna")
	require.ErrorContains(t, err, "ownership.slots")
}

func TestReadSetRejectsDamagedChunk(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	result, err := Apply(ctx, store, exampleSet(t), "anna")
	require.NoError(t, err)
	key := core.ConfigChunkPrefix + result.Head.Chunks[0]
	record := store.records[key]
	record.Value[0] ^= 1
	_, err = ReadSet(ctx, store, result.Head)
	var step *StepError
	require.ErrorAs(t, err, &step)
	require.Equal(t, key, step.Key)
}

func TestDiffNamesChangedFields(t *testing.T) {
	old, changed := exampleSet(t), exampleSet(t)
	changed.Programs[0].MaxTurns = 21
	changed.Accounts = changed.Accounts[:1]
	changes, err := Diff(old, changed)
	require.NoError(t, err)
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	text := strings.Join(lines, "\n")
	require.Contains(t, text, "~ programs[pitch-draft].max_turns: 20 -> 21")
	require.Contains(t, text, "- accounts[walk-in].name: walk-in")
}
