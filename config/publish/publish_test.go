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

var errLost = errors.New("answer lost")

// fakeStore is a key-value service in memory that can lose answers.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]core.StoreRecord
	// loseSwaps is the number of swaps of the head whose answers are lost;
	// dropSwaps the number that do not even take effect.
	loseSwaps, dropSwaps int
	// beforeSwap runs once before the next swap of the head.
	beforeSwap func()
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]core.StoreRecord{}} }

func (s *fakeStore) Get(_ context.Context, key string) (core.StoreRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], nil
}

func (s *fakeStore) Range(_ context.Context, prefix string) ([]core.StoreRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []core.StoreRecord
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, entry)
		}
	}
	return out, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, revision int64, value []byte) (bool, error) {
	if key == core.ConfigHeadKey && s.beforeSwap != nil {
		hook := s.beforeSwap
		s.beforeSwap = nil
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == core.ConfigHeadKey && s.dropSwaps > 0 {
		s.dropSwaps--
		return false, errLost
	}
	if s.entries[key].Revision != revision {
		return false, nil
	}
	s.revision++
	s.entries[key] = core.StoreRecord{Key: key, Value: slices.Clone(value), Revision: s.revision}
	if key == core.ConfigHeadKey && s.loseSwaps > 0 {
		s.loseSwaps--
		return false, errLost
	}
	return true, nil
}

func exampleSet(t *testing.T) *config.Set {
	t.Helper()
	set, err := load.Set(filepath.Join("..", "..", "examples", "bancarella"))
	require.NoError(t, err)
	return set
}

func variant(t *testing.T, turns uint32) *config.Set {
	set := exampleSet(t)
	set.Programs[0].MaxTurns = turns
	return set
}

func TestApplyReadsBackWhatWasApplied(t *testing.T) {
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

func TestConflictingAppliesNameTheWinner(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	store.beforeSwap = func() {
		_, err := Apply(ctx, store, variant(t, 7), "bruno")
		require.NoError(t, err)
	}
	_, err := Apply(ctx, store, variant(t, 8), "anna")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "bruno", conflict.Winner.By)
	head, _, err := ReadHead(ctx, store)
	require.NoError(t, err)
	require.EqualValues(t, 1, head.Generation)
}

func TestLostAnswerOfTheSwapIsSettled(t *testing.T) {
	tests := []struct {
		name       string
		lose, drop int
	}{
		{"took effect", 1, 0},
		{"did not take effect", 0, 1},
		{"first dropped, then took effect", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, store := context.Background(), newFakeStore()
			store.loseSwaps, store.dropSwaps = tt.lose, tt.drop
			result, err := Apply(ctx, store, exampleSet(t), "anna")
			require.NoError(t, err)
			head, _, err := ReadHead(ctx, store)
			require.NoError(t, err)
			require.Equal(t, result.Head.Proposal, head.Proposal)
			require.EqualValues(t, 1, head.Generation)
		})
	}
}

// TestLostAnswerThenReplaced covers an apply that took effect, lost its answer
// and was replaced before it could read back: it has won all the same.
func TestLostAnswerThenReplaced(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	first := Head{Generation: 1, Digest: "d1", Proposal: "p1", By: "anna"}
	store.loseSwaps = 1
	wrapped := &replacingStore{fakeStore: store, t: t}
	_, err := swapHead(ctx, wrapped, first, 0)
	require.NoError(t, err)
	heads, err := History(ctx, store)
	require.NoError(t, err)
	require.Len(t, heads, 2)
	require.Equal(t, "bruno", heads[0].By)
	require.Equal(t, "anna", heads[1].By)
}

// replacingStore applies another set after the first lost swap.
type replacingStore struct {
	*fakeStore
	t    *testing.T
	done bool
}

func (s *replacingStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error) {
	ok, err := s.fakeStore.CompareAndSwap(ctx, key, revision, value)
	if err != nil && !s.done {
		s.done = true
		head, entry, readErr := ReadHead(ctx, s.fakeStore)
		require.NoError(s.t, readErr)
		require.NoError(s.t, keepHead(ctx, s.fakeStore, head, entry))
		next := Head{Generation: 2, Digest: "d2", Parent: "d1", Proposal: "p2", By: "bruno"}
		_, swapErr := swapHead(ctx, s.fakeStore, next, entry.Revision)
		require.NoError(s.t, swapErr)
	}
	return ok, err
}

func TestSlotsCannotChange(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	_, err := Apply(ctx, store, exampleSet(t), "anna")
	require.NoError(t, err)
	changed := exampleSet(t)
	changed.Ownership.Slots = 128
	_, err = Apply(ctx, store, changed, "anna")
	require.ErrorContains(t, err, "ownership.slots")
}

func TestDamagedChunkIsRefused(t *testing.T) {
	ctx, store := context.Background(), newFakeStore()
	result, err := Apply(ctx, store, exampleSet(t), "anna")
	require.NoError(t, err)
	key := core.ConfigChunkPrefix + result.Head.Chunks[0]
	entry := store.entries[key]
	entry.Value[0] ^= 1
	_, err = ReadSet(ctx, store, result.Head)
	var step *StepError
	require.ErrorAs(t, err, &step)
	require.Equal(t, key, step.Key)
}

func TestDiffNamesFields(t *testing.T) {
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
