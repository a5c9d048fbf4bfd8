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

// storedProgram is the ID of these tests' program, with its account's prefix.
const storedProgram core.ProgramID = "walk-in:p1"

// conversation is a caller and the messages of its conversation. Each call
// sends all messages or only the new ones.
type conversation struct {
	t          *testing.T
	deployment *Deployment
	ctx        context.Context
	messages   []string
	keyCount   int
}

func startConversation(t *testing.T, o Options) *conversation {
	o.Targets["assistant"] = max(o.Targets["assistant"], 2)
	d := start(t, o)
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	t.Cleanup(cancel)
	c := &conversation{t: t, deployment: d, ctx: ctx}
	require.NoError(t, c.sendAll("hello"))
	return c
}

// send makes a call with an idempotency key and returns the answer.
func (c *conversation) send(mode, key string, texts ...string) (string, error) {
	opts := []option.RequestOption{
		option.WithAPIKey(walkInKey), option.WithMaxRetries(0),
		option.WithHeader(front.HeaderProgram, "p1"), option.WithHeader(front.HeaderKey, key),
	}
	if mode != "" {
		opts = append(opts, option.WithHeader(front.HeaderHistory, mode))
	}
	got, err := newClient(c.deployment.Entries()[0], opts...).Chat.Completions.New(c.ctx, chatParams(texts...))
	if err != nil {
		return "", err
	}
	return got.Choices[0].Message.Content, nil
}

func (c *conversation) nextKey() string {
	c.keyCount++
	return fmt.Sprintf("key-%d", c.keyCount)
}

// sendAll sends the whole conversation and a new message.
func (c *conversation) sendAll(text string) error {
	answer, err := c.send("", c.nextKey(), append(append([]string{}, c.messages...), text)...)
	if err == nil {
		c.messages = append(c.messages, text, answer)
	}
	return err
}

// sendNew sends only a new message.
func (c *conversation) sendNew(text string) error {
	answer, err := c.send("append", c.nextKey(), text)
	if err == nil {
		c.messages = append(c.messages, text, answer)
	}
	return err
}

// blocks returns the chained digests of messages that alternate between user and
// assistant.
func (c *conversation) blocks(texts []string) []core.Block {
	var messages []chat.Message
	for i, text := range texts {
		role := "user"
		if i%2 == 1 {
			role = "assistant"
		}
		content, err := json.Marshal(text)
		require.NoError(c.t, err)
		messages = append(messages, chat.Message{Role: role, Content: content})
	}
	return chat.Blocks(messages)
}

// checkAnswer checks the last answer. It depends on all messages before it, so
// it shows that the engine received the whole conversation.
func (c *conversation) checkAnswer() {
	last := len(c.messages) - 1
	digest := c.blocks(c.messages[:last])[last-1].Digest
	require.Equal(c.t, engine.AnswerText(digest, engine.AnswerTokens(digest, 20)), c.messages[last])
}

// locate returns the owner's reference to the stored conversation, or nil.
func (c *conversation) locate() *core.HistoryRef {
	for _, vm := range c.deployment.Entries() {
		if e, ok := vm.currentDaemon().(*entry.Daemon); ok {
			ref, _ := e.Locate(c.ctx, storedProgram, "walk-in")
			return ref
		}
	}
	return nil
}

// waitForCopies waits until the owner lists two copies of the whole conversation.
func (c *conversation) waitForCopies() *core.HistoryRef {
	var ref *core.HistoryRef
	require.Eventually(c.t, func() bool {
		ref = c.locate()
		return ref != nil && len(ref.Copies) == 2 && int(ref.Blocks) == len(c.messages)
	}, eventuallyTimeout, 10*time.Millisecond)
	return ref
}

func (c *conversation) vm(name core.VM) *VM {
	for _, vm := range c.deployment.Sidecars() {
		if vm.Name() == string(name) {
			return vm
		}
	}
	require.Fail(c.t, "no such VM", name)
	return nil
}

// fetch reads a program's conversation through the API.
func (c *conversation) fetch(key, program string) (int, []byte) {
	req, err := http.NewRequestWithContext(c.ctx, http.MethodGet,
		c.deployment.Entries()[1].URL()+"/v1/programs/"+program+"/history", nil)
	require.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp.StatusCode, body
}

func TestAppendContinuesStoredConversation(t *testing.T) {
	c := startConversation(t, smallOptions(t))
	for _, text := range []string{"one", "two", "three"} {
		require.NoError(t, c.sendNew(text))
		c.checkAnswer()
	}
	// A repeated request receives the recorded answer and adds no turn.
	repeated, err := c.send("append", fmt.Sprintf("key-%d", c.keyCount), "three")
	require.NoError(t, err)
	require.Equal(t, c.messages[len(c.messages)-1], repeated)

	status, body := c.fetch(walkInKey, "p1")
	require.Equal(t, http.StatusOK, status, "%s", body)
	var got struct{ Messages []chat.Message }
	require.NoError(t, json.Unmarshal(body, &got))
	require.Equal(t, c.blocks(c.messages), chat.Blocks(got.Messages))

	status, body = c.fetch(circuitKey, "p1")
	require.Equal(t, http.StatusConflict, status, "another account's program: %s", body)
	status, _ = c.fetch(walkInKey, "p2")
	require.Equal(t, http.StatusConflict, status)
}

func TestConversationSurvivesLossOfEitherCopy(t *testing.T) {
	for i, name := range []string{"keeper", "copy"} {
		t.Run(name, func(t *testing.T) {
			c := startConversation(t, smallOptions(t))
			require.NoError(t, c.sendNew("one"))
			ref := c.waitForCopies()
			victim := c.vm(ref.Copies[i].VM)
			other := c.vm(ref.Copies[1-i].VM)
			require.NotEqual(t, victim.settings.Domain, other.settings.Domain)
			victim.Kill()
			require.NoError(t, victim.Remove())
			require.NoError(t, c.sendNew("two"))
			c.checkAnswer()
		})
	}
}

func TestLostConversationIsRefusedUntilSentInFull(t *testing.T) {
	c := startConversation(t, smallOptions(t))
	for _, node := range c.waitForCopies().Copies {
		c.vm(node.VM).Kill()
		require.NoError(t, c.vm(node.VM).Start())
	}
	err := c.sendNew("one")
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, string(core.ReasonHistoryLost), apiErr.Code)
	require.Contains(t, apiErr.RawJSON(), core.OutcomeNotRun.String())
	require.Eventually(t, func() bool { return c.sendAll("one") == nil }, eventuallyTimeout, 50*time.Millisecond)
	require.NoError(t, c.sendNew("two"))
	c.checkAnswer()
}

func TestDiskStoreSurvivesRestartOfBothCopies(t *testing.T) {
	for _, corrupted := range []bool{false, true} {
		t.Run(fmt.Sprintf("corrupted %t", corrupted), func(t *testing.T) {
			o := smallOptions(t)
			o.DataDir = t.TempDir()
			c := startConversation(t, o)
			copies := c.waitForCopies().Copies
			for _, node := range copies {
				c.vm(node.VM).Kill()
				if corrupted {
					corruptFiles(t, filepath.Join(o.DataDir, "history", string(node.VM)))
				}
				require.NoError(t, c.vm(node.VM).Start())
			}
			if corrupted {
				var apiErr *openai.Error
				require.ErrorAs(t, c.sendNew("one"), &apiErr)
				require.Equal(t, string(core.ReasonHistoryLost), apiErr.Code)
				return
			}
			require.Eventually(t, func() bool { return c.sendNew("one") == nil }, eventuallyTimeout, 50*time.Millisecond)
			c.checkAnswer()
		})
	}
}

// corruptFiles changes the last byte of each stored conversation in a directory.
func corruptFiles(t *testing.T, dir string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.body"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, path := range files {
		b, err := os.ReadFile(path)
		require.NoError(t, err)
		b[len(b)-1] ^= 1
		require.NoError(t, os.WriteFile(path, b, 0o600))
	}
}

func TestDrainHandsOverConversation(t *testing.T) {
	o := smallOptions(t)
	o.Targets["assistant"] = 4
	c := startConversation(t, o)
	drained := c.waitForCopies().Copies[0].VM
	require.NoError(t, c.vm(drained).Drain(c.ctx))
	require.NoError(t, c.vm(drained).Remove())
	require.Eventually(t, func() bool {
		remaining := 0
		ref := c.locate()
		if ref == nil {
			return false
		}
		for _, node := range ref.Copies {
			if node.VM != drained {
				remaining++
			}
		}
		return remaining >= 2
	}, eventuallyTimeout, 10*time.Millisecond)
	require.NoError(t, c.sendNew("one"))
	c.checkAnswer()
}

func TestProgramEndReleasesAllCopies(t *testing.T) {
	c := startConversation(t, smallOptions(t))
	c.waitForCopies()
	countCopies := func() int {
		n := 0
		for _, vm := range c.deployment.Sidecars() {
			if vm.currentDaemon().(*sidecar.Daemon).HasHistory(storedProgram) {
				n++
			}
		}
		return n
	}
	require.Equal(t, 2, countCopies())
	req, err := http.NewRequestWithContext(c.ctx, http.MethodDelete, c.deployment.Entries()[0].URL()+"/v1/programs/p1", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+walkInKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Eventually(t, func() bool { return countCopies() == 0 }, eventuallyTimeout, 10*time.Millisecond)
	status, _ := c.fetch(walkInKey, "p1")
	require.Equal(t, http.StatusGone, status)
}

func TestStaleOwnerCannotReadOrReplaceConversation(t *testing.T) {
	c := startConversation(t, smallOptions(t))
	ref := c.waitForCopies()
	old := *ref
	old.Epoch = core.Epoch{}
	peers := c.deployment.Entries()[0].Node().Peers()
	_, err := peers.GetHistory(c.ctx, ref.Copies[0].VM, old)
	require.ErrorContains(t, err, "is below")
	stale := history.StoredConversation{Meta: history.Meta{
		Program: ref.Program, Account: ref.Account, Attempt: core.AttemptID{Slot: ref.Slot, N: 1 << 40},
	}}
	body, err := stale.Encode()
	require.NoError(t, err)
	for _, node := range ref.Copies {
		require.ErrorContains(t, peers.PutHistory(c.ctx, node.VM, body, core.Node{}), "is below")
	}
	require.NoError(t, c.sendNew("one"))
	c.checkAnswer()
}
