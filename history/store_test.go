package history

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func openStore(t require.TestingT, o Options) *Store {
	s, err := Open(o)
	require.NoError(t, err)
	return s
}

// conversation returns a conversation with the given texts as messages, and the
// reference to all of it.
func conversation(t require.TestingT, program core.ProgramID, texts ...string) ([]byte, Ref) {
	messages := []byte("[]")
	var digest uint64
	for _, text := range texts {
		m := chat.Message{Role: "user", Content: fmt.Appendf(nil, "%q", text)}
		digest = chat.ExtendDigest(digest, &m)
		encoded, err := m.Encode()
		require.NoError(t, err)
		messages, err = Join(messages, fmt.Appendf(nil, "[%s]", encoded))
		require.NoError(t, err)
	}
	return messages, Ref{
		Program: program, Account: "a", Epoch: core.Epoch{Version: 1}, Digest: digest, Blocks: uint32(len(texts)),
	}
}

func attempt(version, n uint64) core.AttemptID {
	return core.AttemptID{Epoch: core.Epoch{Version: version}, N: n}
}

// putConversation stores a conversation as the result of the attempt id.
func putConversation(t require.TestingT, s *Store, id core.AttemptID, messages []byte, ref Ref) error {
	e, err := s.Compress(Meta{
		Program: ref.Program, Account: ref.Account, Attempt: id, Digest: ref.Digest, Blocks: ref.Blocks,
	}, messages)
	require.NoError(t, err)
	return s.Put(e)
}

func TestGetReturnsOnlyConversationMatchingDigest(t *testing.T) {
	s := openStore(t, Options{})
	older, first := conversation(t, "p", "one")
	newer, second := conversation(t, "p", "one", "two")
	require.NoError(t, putConversation(t, s, attempt(1, 1), older, first))
	_, err := s.Get(second)
	var notFound *NotFoundError
	require.ErrorAs(t, err, &notFound, "the stored conversation is older than the reference")
	require.NoError(t, putConversation(t, s, attempt(1, 2), newer, second))
	got, err := s.Get(second)
	require.NoError(t, err)
	require.JSONEq(t, string(newer), string(got))
	got, err = s.Get(first)
	require.NoError(t, err)
	require.JSONEq(t, string(older), string(got), "a reference to an earlier state returns that prefix")

	_, other := conversation(t, "p", "one", "three")
	_, err = s.Get(other)
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt, "a different conversation of the same length")
	otherAccount := second
	otherAccount.Account = "b"
	_, err = s.Get(otherAccount)
	var account *AccountError
	require.ErrorAs(t, err, &account)
	otherProgram := second
	otherProgram.Program = "q"
	_, err = s.Get(otherProgram)
	require.ErrorAs(t, err, &notFound)
}

func TestStaleEpochIsRejected(t *testing.T) {
	s := openStore(t, Options{})
	older, first := conversation(t, "p", "one")
	newer, second := conversation(t, "p", "one", "two")
	require.NoError(t, putConversation(t, s, attempt(2, 1), newer, second))
	var fence *FenceError
	require.ErrorAs(t, putConversation(t, s, attempt(1, 9), older, first), &fence)
	_, err := s.Get(first)
	require.ErrorAs(t, err, &fence)
	require.ErrorAs(t, s.Release(0, core.Epoch{Version: 1}, "p"), &fence)
	second.Epoch = core.Epoch{Version: 3}
	_, err = s.Get(second)
	require.NoError(t, err)
	require.ErrorAs(t, putConversation(t, s, attempt(2, 9), newer, second), &fence, "a read must raise the fence too")
}

func TestPutRejectsInvalidConversations(t *testing.T) {
	s := openStore(t, Options{Bytes: 200})
	messages, ref := conversation(t, "p", "one")
	require.NoError(t, putConversation(t, s, attempt(1, 5), messages, ref))
	var stale *StaleError
	require.ErrorAs(t, putConversation(t, s, attempt(1, 4), messages, ref), &stale, "a delayed put of an earlier attempt must be rejected")
	otherAccount := ref
	otherAccount.Account = "b"
	var account *AccountError
	require.ErrorAs(t, putConversation(t, s, attempt(1, 6), messages, otherAccount), &account)
	longMessages, longRef := conversation(t, "p", incompressibleText(1000))
	var large *TooLargeError
	require.ErrorAs(t, putConversation(t, s, attempt(1, 7), longMessages, longRef), &large)
	_, err := s.Get(ref)
	var notFound *NotFoundError
	require.ErrorAs(t, err, &notFound, "a put that is too large must still remove the older conversation")
	_, err = s.Compress(Meta{Program: "p", Digest: ref.Digest + 1, Blocks: 1}, messages)
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
}

// incompressibleText returns n pseudo-random letters, which compress poorly.
func incompressibleText(n int) string {
	out := make([]byte, n)
	x := uint64(1)
	for i := range out {
		x = x*6364136223846793005 + 1442695040888963407
		out[i] = 'a' + byte(x>>33%26)
	}
	return string(out)
}

func TestLeastRecentlyUsedIsEvictedFirst(t *testing.T) {
	s := openStore(t, Options{Bytes: 2500})
	refs := map[core.ProgramID]Ref{}
	for i, p := range []core.ProgramID{"a", "b", "c"} {
		messages, ref := conversation(t, p, incompressibleText(1000))
		refs[p] = ref
		require.NoError(t, putConversation(t, s, attempt(1, uint64(i)), messages, ref))
		_, err := s.Get(refs["a"])
		require.NoError(t, err)
	}
	require.LessOrEqual(t, s.Bytes(), int64(2500))
	_, err := s.Get(refs["b"])
	var notFound *NotFoundError
	require.ErrorAs(t, err, &notFound)
	_, err = s.Get(refs["c"])
	require.NoError(t, err)
}

func TestReleaseRemovesSubAgents(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, Options{Dir: dir})
	refs := map[core.ProgramID]Ref{}
	for _, p := range []core.ProgramID{"p", "p/q", "px"} {
		messages, ref := conversation(t, p, "one")
		refs[p] = ref
		require.NoError(t, putConversation(t, s, attempt(1, 1), messages, ref))
	}
	require.NoError(t, s.Release(0, core.Epoch{Version: 1}, "p"))
	var notFound *NotFoundError
	for _, p := range []core.ProgramID{"p", "p/q"} {
		_, err := s.Get(refs[p])
		require.ErrorAs(t, err, &notFound)
	}
	_, err := s.Get(refs["px"])
	require.NoError(t, err)
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, files, 1)
}

func TestDiskStoreSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	messages, ref := conversation(t, "p", "one", "two")
	require.NoError(t, putConversation(t, openStore(t, Options{Dir: dir}), attempt(1, 1), messages, ref))
	partial := filepath.Join(dir, "write-1.tmp")
	require.NoError(t, os.WriteFile(partial, []byte("cut"), 0o600))
	s := openStore(t, Options{Dir: dir})
	require.NoFileExists(t, partial)
	got, err := s.Get(ref)
	require.NoError(t, err)
	require.JSONEq(t, string(messages), string(got))
	otherAccount := ref
	otherAccount.Account = "b"
	_, err = s.Get(otherAccount)
	var account *AccountError
	require.ErrorAs(t, err, &account)
}

func TestCorruptFileIsRemoved(t *testing.T) {
	messages, ref := conversation(t, "p", incompressibleText(500))
	for _, when := range []string{"before open", "after open"} {
		t.Run(when, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, putConversation(t, openStore(t, Options{Dir: dir}), attempt(1, 1), messages, ref))
			path := filepath.Join(dir, fileName("p"))
			encoded, err := os.ReadFile(path)
			require.NoError(t, err)
			corrupt := func() {
				corrupted := append([]byte(nil), encoded...)
				corrupted[len(corrupted)-9] ^= 1
				require.NoError(t, os.WriteFile(path, corrupted, 0o600))
			}
			if when == "before open" {
				corrupt()
			}
			s := openStore(t, Options{Dir: dir})
			if when == "after open" {
				corrupt()
			}
			_, err = s.Get(ref)
			require.Error(t, err)
			require.NoFileExists(t, path)
			_, err = s.Get(ref)
			var notFound *NotFoundError
			require.ErrorAs(t, err, &notFound)
		})
	}
}

func TestDiskStoreIsBounded(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, Options{Dir: dir, Bytes: 1, DiskBytes: 2500})
	var last Ref
	for i, p := range []core.ProgramID{"a", "b", "c", "d"} {
		var messages []byte
		messages, last = conversation(t, p, incompressibleText(1000))
		require.NoError(t, putConversation(t, s, attempt(1, uint64(i)), messages, last))
	}
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.LessOrEqual(t, len(files), 3)
	require.Zero(t, s.Bytes())
	_, err = s.Get(last)
	require.NoError(t, err)
}

// TestClosedStoreWritesNothing closes a store while others write to it, and checks that
// its directory can be removed: no write is in progress any more and none begins.
func TestClosedStoreWritesNothing(t *testing.T) {
	for range 20 {
		dir := filepath.Join(t.TempDir(), "history")
		s := openStore(t, Options{Dir: dir})
		var writers sync.WaitGroup
		for w := range 4 {
			writers.Go(func() {
				for i := range 50 {
					messages, ref := conversation(t, core.ProgramID(fmt.Sprint(w)), fmt.Sprint(i))
					if putConversation(t, s, attempt(1, uint64(i)), messages, ref) != nil {
						return
					}
				}
			})
		}
		s.Close()
		require.NoError(t, os.RemoveAll(dir))
		writers.Wait()
		_, err := os.Stat(dir)
		require.ErrorIs(t, err, os.ErrNotExist)
		messages, ref := conversation(t, "p", "late")
		require.ErrorIs(t, putConversation(t, s, attempt(1, 99), messages, ref), ErrClosed)
	}
}

// TestStaleConversationIsNeverReturned extends and resets random conversations,
// stores only some of their states, and checks that reading a state either fails
// or returns exactly that state.
func TestStaleConversationIsNeverReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := openStore(t, Options{Bytes: 400})
		texts := map[core.ProgramID][]string{}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			p := core.ProgramID(rapid.SampledFrom([]string{"p", "q", "p/r"}).Draw(t, "program"))
			if len(texts[p]) == 0 || rapid.Bool().Draw(t, "reset") {
				texts[p] = nil
			}
			texts[p] = append(texts[p], rapid.StringMatching(`[a-z]{1,80}`).Draw(t, "text"))
			messages, ref := conversation(t, p, texts[p]...)
			if rapid.Bool().Draw(t, "kept") {
				// A put rejected for its size has the same effect as a lost one.
				_ = putConversation(t, s, attempt(1, uint64(step)), messages, ref)
			}
			if got, err := s.Get(ref); err == nil {
				require.JSONEq(t, string(messages), string(got))
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	c, err := newCodec()
	require.NoError(f, err)
	encoded, err := c.compress(Meta{Program: "p"}, []byte(`[{"role":"user"}]`)).Encode()
	require.NoError(f, err)
	f.Add(encoded)
	f.Add(encoded[:len(encoded)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := Decode(b)
		if err != nil {
			var corrupt *CorruptError
			require.ErrorAs(t, err, &corrupt)
			return
		}
		if messages, err := c.decompress(e); err == nil {
			require.Len(t, messages, e.Size)
		}
	})
}
