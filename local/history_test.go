package local

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/front"
	"github.com/rhubarbsaddle/rhubarbsaddle/history"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// keptProgram is the program of these tests within its account.
const keptProgram core.ProgramID = "walk-in:p1"

// talk is a caller that sends only its new messages.
type talk struct {
	t    *testing.T
	d    *Deployment
	ctx  context.Context
	said []string
	keys int
}

func startTalk(t *testing.T, o Options) *talk {
	o.Targets["assistant"] = max(o.Targets["assistant"], 2)
	d := start(t, o)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	k := &talk{t: t, d: d, ctx: ctx}
	require.NoError(t, k.whole("hello"))
	return k
}

// send sends messages under a key of their own.
func (k *talk) send(mode, key string, texts ...string) (string, error) {
	opts := []option.RequestOption{
		option.WithAPIKey(walkInKey), option.WithMaxRetries(0),
		option.WithHeader(front.HeaderProgram, "p1"), option.WithHeader(front.HeaderKey, key),
	}
	if mode != "" {
		opts = append(opts, option.WithHeader(front.HeaderHistory, mode))
	}
	got, err := clientOf(k.d.Entries()[0], opts...).Chat.Completions.New(k.ctx, ask(texts...))
	if err != nil {
		return "", err
	}
	return got.Choices[0].Message.Content, nil
}

func (k *talk) nextKey() string {
	k.keys++
	return fmt.Sprintf("key-%d", k.keys)
}

// whole sends the whole conversation with a new message.
func (k *talk) whole(text string) error {
	said, err := k.send("", k.nextKey(), append(append([]string{}, k.said...), text)...)
	if err == nil {
		k.said = append(k.said, text, said)
	}
	return err
}

// add sends a new message only.
func (k *talk) add(text string) error {
	said, err := k.send("append", k.nextKey(), text)
	if err == nil {
		k.said = append(k.said, text, said)
	}
	return err
}

// blocks returns the digest chain of all that was said.
func (k *talk) blocks(texts []string) []core.Block {
	var messages []chat.Message
	for i, text := range texts {
		role := "user"
		if i%2 == 1 {
			role = "assistant"
		}
		content, err := json.Marshal(text)
		require.NoError(k.t, err)
		messages = append(messages, chat.Message{Role: role, Content: content})
	}
	return chat.Blocks(messages)
}

// checkAnswer checks that the engine has seen the whole conversation: its answer
// depends on it.
func (k *talk) checkAnswer() {
	last := len(k.said) - 1
	digest := k.blocks(k.said[:last])[last-1].Digest
	require.Equal(k.t, engine.AnswerText(digest, engine.AnswerTokens(digest, 20)), k.said[last])
}

// locate returns what the home says of the conversation.
func (k *talk) locate() *core.HistoryRef {
	for _, vm := range k.d.Entries() {
		if e, ok := vm.current().(*entry.Daemon); ok {
			ref, _ := e.Locate(k.ctx, keptProgram, "walk-in")
			return ref
		}
	}
	return nil
}

// copied waits until the home names two copies of all that was said.
func (k *talk) copied() *core.HistoryRef {
	var ref *core.HistoryRef
	require.Eventually(k.t, func() bool {
		ref = k.locate()
		return ref != nil && len(ref.Copies) == 2 && int(ref.Blocks) == len(k.said)
	}, patience, 10*time.Millisecond)
	return ref
}

func (k *talk) vm(name core.VM) *VM {
	for _, vm := range k.d.Sidecars() {
		if vm.Name() == string(name) {
			return vm
		}
	}
	require.Fail(k.t, "no such VM", name)
	return nil
}

// get reads the conversation over the API.
func (k *talk) get(key, program string) (int, []byte) {
	req, err := http.NewRequestWithContext(k.ctx, http.MethodGet,
		k.d.Entries()[1].URL()+"/v1/programs/"+program+"/history", nil)
	require.NoError(k.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(k.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(k.t, err)
	return resp.StatusCode, body
}

func TestAppendGoesOnFromTheKeptConversation(t *testing.T) {
	k := startTalk(t, smallOptions(t))
	for _, text := range []string{"one", "two", "three"} {
		require.NoError(t, k.add(text))
		k.checkAnswer()
	}
	// A repeated request brings the recorded answer and no new turn.
	again, err := k.send("append", fmt.Sprintf("key-%d", k.keys), "three")
	require.NoError(t, err)
	require.Equal(t, k.said[len(k.said)-1], again)

	status, body := k.get(walkInKey, "p1")
	require.Equal(t, http.StatusOK, status, "%s", body)
	var got struct{ Messages []chat.Message }
	require.NoError(t, json.Unmarshal(body, &got))
	require.Equal(t, k.blocks(k.said), chat.Blocks(got.Messages))

	status, body = k.get(circuitKey, "p1")
	require.Equal(t, http.StatusConflict, status, "another account's program: %s", body)
	status, _ = k.get(walkInKey, "p2")
	require.Equal(t, http.StatusConflict, status)
}

func TestEitherCopyOutlivesTheOther(t *testing.T) {
	for i, name := range []string{"keeper", "copy"} {
		t.Run(name, func(t *testing.T) {
			k := startTalk(t, smallOptions(t))
			require.NoError(t, k.add("one"))
			ref := k.copied()
			victim := k.vm(ref.Copies[i].VM)
			other := k.vm(ref.Copies[1-i].VM)
			require.NotEqual(t, victim.settings.Domain, other.settings.Domain)
			victim.Kill()
			require.NoError(t, victim.Remove())
			require.NoError(t, k.add("two"))
			k.checkAnswer()
		})
	}
}

func TestLostConversationIsRefusedAndTakenAnew(t *testing.T) {
	k := startTalk(t, smallOptions(t))
	for _, node := range k.copied().Copies {
		k.vm(node.VM).Kill()
		require.NoError(t, k.vm(node.VM).Start())
	}
	err := k.add("one")
	var refused *openai.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, string(core.ReasonHistoryLost), refused.Code)
	require.Contains(t, refused.RawJSON(), core.OutcomeNotRun.String())
	require.Eventually(t, func() bool { return k.whole("one") == nil }, patience, 50*time.Millisecond)
	require.NoError(t, k.add("two"))
	k.checkAnswer()
}

func TestSpoolOutlivesBothProcesses(t *testing.T) {
	for _, corrupted := range []bool{false, true} {
		t.Run(fmt.Sprintf("corrupted %t", corrupted), func(t *testing.T) {
			o := smallOptions(t)
			o.DataDir = t.TempDir()
			k := startTalk(t, o)
			copies := k.copied().Copies
			for _, node := range copies {
				k.vm(node.VM).Kill()
				if corrupted {
					damage(t, filepath.Join(o.DataDir, "history", string(node.VM)))
				}
				require.NoError(t, k.vm(node.VM).Start())
			}
			if corrupted {
				var refused *openai.Error
				require.ErrorAs(t, k.add("one"), &refused)
				require.Equal(t, string(core.ReasonHistoryLost), refused.Code)
				return
			}
			require.Eventually(t, func() bool { return k.add("one") == nil }, patience, 50*time.Millisecond)
			k.checkAnswer()
		})
	}
}

// damage changes a byte of each file of a folder.
func damage(t *testing.T, folder string) {
	files, err := filepath.Glob(filepath.Join(folder, "*.body"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, path := range files {
		b, err := os.ReadFile(path)
		require.NoError(t, err)
		b[len(b)-1] ^= 1
		require.NoError(t, os.WriteFile(path, b, 0o600))
	}
}

func TestDrainHandsTheConversationOver(t *testing.T) {
	o := smallOptions(t)
	o.Targets["assistant"] = 4
	k := startTalk(t, o)
	gone := k.copied().Copies[0].VM
	require.NoError(t, k.vm(gone).Drain(k.ctx))
	require.NoError(t, k.vm(gone).Remove())
	require.Eventually(t, func() bool {
		living := 0
		ref := k.locate()
		if ref == nil {
			return false
		}
		for _, node := range ref.Copies {
			if node.VM != gone {
				living++
			}
		}
		return living >= 2
	}, patience, 10*time.Millisecond)
	require.NoError(t, k.add("one"))
	k.checkAnswer()
}

func TestEndReleasesAllCopies(t *testing.T) {
	k := startTalk(t, smallOptions(t))
	k.copied()
	keepers := func() int {
		n := 0
		for _, vm := range k.d.Sidecars() {
			if vm.current().(*sidecar.Daemon).HasHistory(keptProgram) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 2, keepers())
	req, err := http.NewRequestWithContext(k.ctx, http.MethodDelete, k.d.Entries()[0].URL()+"/v1/programs/p1", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+walkInKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return keepers() == 0 }, patience, 10*time.Millisecond)
	status, _ := k.get(walkInKey, "p1")
	require.Equal(t, http.StatusGone, status)
}

func TestPausedHomeCannotReplaceAConversation(t *testing.T) {
	k := startTalk(t, smallOptions(t))
	ref := k.copied()
	old := *ref
	old.Epoch = core.Epoch{}
	mesh := k.d.Entries()[0].Node().Peers()
	_, err := mesh.GetHistory(k.ctx, ref.Copies[0].VM, old)
	require.ErrorContains(t, err, "is below")
	stale := history.Entry{Meta: history.Meta{
		Program: ref.Program, Account: ref.Account, Attempt: core.AttemptID{Slot: ref.Slot, N: 1 << 40},
	}}
	body, err := stale.Encode()
	require.NoError(t, err)
	for _, node := range ref.Copies {
		require.ErrorContains(t, mesh.PutHistory(k.ctx, node.VM, body, core.Node{}), "is below")
	}
	require.NoError(t, k.add("one"))
	k.checkAnswer()
}
