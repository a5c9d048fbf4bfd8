package history

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

func open(t require.TestingT, o Options) *Store {
	s, err := Open(o)
	require.NoError(t, err)
	return s
}

// conversation returns messages and the reference to all of them.
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

// put keeps a conversation as the answer of an attempt.
func put(t require.TestingT, s *Store, at core.AttemptID, messages []byte, ref Ref) error {
	e, err := s.Compress(Meta{
		Program: ref.Program, Account: ref.Account, Attempt: at, Digest: ref.Digest, Blocks: ref.Blocks,
	}, messages)
	require.NoError(t, err)
	return s.Put(e)
}

func TestGetReturnsOnlyWhatTheDigestNames(t *testing.T) {
	s := open(t, Options{})
	older, first := conversation(t, "p", "one")
	newer, second := conversation(t, "p", "one", "two")
	require.NoError(t, put(t, s, attempt(1, 1), older, first))
	_, err := s.Get(second)
	var lost *NotFoundError
	require.ErrorAs(t, err, &lost, "a body older than acknowledged")
	require.NoError(t, put(t, s, attempt(1, 2), newer, second))
	got, err := s.Get(second)
	require.NoError(t, err)
	require.JSONEq(t, string(newer), string(got))
	got, err = s.Get(first)
	require.NoError(t, err)
	require.JSONEq(t, string(older), string(got), "the state before the last answer")

	_, other := conversation(t, "p", "one", "three")
	_, err = s.Get(other)
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt, "another conversation of the same length")
	foreign := second
	foreign.Account = "b"
	_, err = s.Get(foreign)
	var account *AccountError
	require.ErrorAs(t, err, &account)
	stranger := second
	stranger.Program = "q"
	_, err = s.Get(stranger)
	require.ErrorAs(t, err, &lost)
}

func TestFenceRefusesAnOldHome(t *testing.T) {
	s := open(t, Options{})
	older, first := conversation(t, "p", "one")
	newer, second := conversation(t, "p", "one", "two")
	require.NoError(t, put(t, s, attempt(2, 1), newer, second))
	var fence *FenceError
	require.ErrorAs(t, put(t, s, attempt(1, 9), older, first), &fence)
	_, err := s.Get(first)
	require.ErrorAs(t, err, &fence)
	require.ErrorAs(t, s.Release(0, core.Epoch{Version: 1}, "p"), &fence)
	second.Epoch = core.Epoch{Version: 3}
	_, err = s.Get(second)
	require.NoError(t, err)
	require.ErrorAs(t, put(t, s, attempt(2, 9), newer, second), &fence, "a read raises the fence too")
}

func TestPutRefuses(t *testing.T) {
	s := open(t, Options{Bytes: 200})
	messages, ref := conversation(t, "p", "one")
	require.NoError(t, put(t, s, attempt(1, 5), messages, ref))
	var stale *StaleError
	require.ErrorAs(t, put(t, s, attempt(1, 4), messages, ref), &stale, "a late put of an earlier attempt")
	foreign := ref
	foreign.Account = "b"
	var account *AccountError
	require.ErrorAs(t, put(t, s, attempt(1, 6), messages, foreign), &account)
	long, big := conversation(t, "p", noise(1000))
	var large *TooLargeError
	require.ErrorAs(t, put(t, s, attempt(1, 7), long, big), &large)
	_, err := s.Get(ref)
	var lost *NotFoundError
	require.ErrorAs(t, err, &lost, "what came before a body that was not kept is out of date")
	_, err = s.Compress(Meta{Program: "p", Digest: ref.Digest + 1, Blocks: 1}, messages)
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
}

// noise returns text that does not compress well.
func noise(n int) string {
	out := make([]byte, n)
	x := uint64(1)
	for i := range out {
		x = x*6364136223846793005 + 1442695040888963407
		out[i] = 'a' + byte(x>>33%26)
	}
	return string(out)
}

func TestLeastRecentlyUsedIsForgottenFirst(t *testing.T) {
	s := open(t, Options{Bytes: 2500})
	refs := map[core.ProgramID]Ref{}
	for i, p := range []core.ProgramID{"a", "b", "c"} {
		messages, ref := conversation(t, p, noise(1000))
		refs[p] = ref
		require.NoError(t, put(t, s, attempt(1, uint64(i)), messages, ref))
		_, err := s.Get(refs["a"])
		require.NoError(t, err)
	}
	require.LessOrEqual(t, s.Bytes(), int64(2500))
	_, err := s.Get(refs["b"])
	var lost *NotFoundError
	require.ErrorAs(t, err, &lost)
	_, err = s.Get(refs["c"])
	require.NoError(t, err)
}

func TestReleaseTakesTheTree(t *testing.T) {
	folder := t.TempDir()
	s := open(t, Options{Dir: folder})
	refs := map[core.ProgramID]Ref{}
	for _, p := range []core.ProgramID{"p", "p/q", "px"} {
		messages, ref := conversation(t, p, "one")
		refs[p] = ref
		require.NoError(t, put(t, s, attempt(1, 1), messages, ref))
	}
	require.NoError(t, s.Release(0, core.Epoch{Version: 1}, "p"))
	var lost *NotFoundError
	for _, p := range []core.ProgramID{"p", "p/q"} {
		_, err := s.Get(refs[p])
		require.ErrorAs(t, err, &lost)
	}
	_, err := s.Get(refs["px"])
	require.NoError(t, err)
	files, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Len(t, files, 1)
}

func TestSpoolOutlivesARestart(t *testing.T) {
	folder := t.TempDir()
	messages, ref := conversation(t, "p", "one", "two")
	require.NoError(t, put(t, open(t, Options{Dir: folder}), attempt(1, 1), messages, ref))
	cut := filepath.Join(folder, "write-1.tmp")
	require.NoError(t, os.WriteFile(cut, []byte("cut"), 0o600))
	s := open(t, Options{Dir: folder})
	require.NoFileExists(t, cut)
	got, err := s.Get(ref)
	require.NoError(t, err)
	require.JSONEq(t, string(messages), string(got))
	foreign := ref
	foreign.Account = "b"
	_, err = s.Get(foreign)
	var account *AccountError
	require.ErrorAs(t, err, &account)
}

func TestCorruptedSpoolIsNotUsed(t *testing.T) {
	messages, ref := conversation(t, "p", noise(500))
	for _, when := range []string{"before open", "after open"} {
		t.Run(when, func(t *testing.T) {
			folder := t.TempDir()
			require.NoError(t, put(t, open(t, Options{Dir: folder}), attempt(1, 1), messages, ref))
			path := filepath.Join(folder, fileName("p"))
			whole, err := os.ReadFile(path)
			require.NoError(t, err)
			damage := func() {
				damaged := append([]byte(nil), whole...)
				damaged[len(damaged)-9] ^= 1
				require.NoError(t, os.WriteFile(path, damaged, 0o600))
			}
			if when == "before open" {
				damage()
			}
			s := open(t, Options{Dir: folder})
			if when == "after open" {
				damage()
			}
			_, err = s.Get(ref)
			require.Error(t, err)
			require.NoFileExists(t, path)
			_, err = s.Get(ref)
			var lost *NotFoundError
			require.ErrorAs(t, err, &lost)
		})
	}
}

func TestSpoolIsBounded(t *testing.T) {
	folder := t.TempDir()
	s := open(t, Options{Dir: folder, Bytes: 1, DiskBytes: 2500})
	var last Ref
	for i, p := range []core.ProgramID{"a", "b", "c", "d"} {
		var messages []byte
		messages, last = conversation(t, p, noise(1000))
		require.NoError(t, put(t, s, attempt(1, uint64(i)), messages, last))
	}
	files, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.LessOrEqual(t, len(files), 3)
	require.Zero(t, s.Bytes())
	_, err = s.Get(last)
	require.NoError(t, err)
}

// TestStaleBodyIsNeverReturned plays random puts, reads and releases and
// compares each read with what was put.
func TestStaleBodyIsNeverReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := open(t, Options{Bytes: 400})
		texts := map[core.ProgramID][]string{}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			p := core.ProgramID(rapid.SampledFrom([]string{"p", "q", "p/r"}).Draw(t, "program"))
			if len(texts[p]) == 0 || rapid.Bool().Draw(t, "reset") {
				texts[p] = nil
			}
			texts[p] = append(texts[p], rapid.StringMatching(`[a-z]{1,80}`).Draw(t, "text"))
			messages, ref := conversation(t, p, texts[p]...)
			if rapid.Bool().Draw(t, "kept") {
				// A put that is refused for its size is as good as a lost one.
				_ = put(t, s, attempt(1, uint64(step)), messages, ref)
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
	whole, err := c.compress(Meta{Program: "p"}, []byte(`[{"role":"user"}]`)).Encode()
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
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
