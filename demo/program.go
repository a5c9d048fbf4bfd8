package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

const (
	// tightBudget is the budget, in tokens, of programs that are to exceed it.
	tightBudget = 900
	// subAgentTurns is the number of turns of a sub-agent.
	subAgentTurns = 2
	// subAgentOutput limits the output of a sub-agent's turn in tokens.
	subAgentOutput = 24
)

// program is a running scripted program.
type program struct {
	caller *caller
	id     string
	script programScript
	budget uint64

	seq         int
	messages    []chat.Message
	spentTokens uint64
}

// run runs the program and ends it. It returns nil if the program finished as
// scripted. A program that is scripted to exceed its budget may finish with the
// error budget_exhausted.
func (p *program) run(ctx context.Context) error {
	began := time.Now()
	err := p.runTurns(ctx)
	var apiErr *apiError
	exhausted := errors.As(err, &apiErr) && apiErr.Code == "budget_exhausted"
	p.caller.stats.recordBudget(p.id, p.budget, p.spentTokens, p.script.exceedsBudget && exhausted)
	if p.script.exceedsBudget && exhausted {
		err = nil
	}
	if err == nil {
		p.caller.stats.recordFinished(time.Since(began), p.script.kind.name)
	}
	if endErr := p.caller.endProgram(ctx, p.id); err == nil {
		err = endErr
	}
	return err
}

func (p *program) runTurns(ctx context.Context) error {
	for _, t := range p.script.turns {
		if err := p.runTurn(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

func (p *program) runTurn(ctx context.Context, t turn) error {
	p.addMessage("user", uniqueText(p.id, len(p.messages), t.userWords))
	text, err := p.callModel(ctx, p.script.kind.model, t.maxOutput, t.streamed)
	if err != nil {
		return err
	}
	p.addMessage("assistant", text)
	if err := p.useTool(ctx, t.tool); err != nil {
		return err
	}
	if t.subAgent {
		if err := p.runSubAgent(ctx); err != nil {
			return err
		}
	}
	select {
	case <-time.After(t.idleTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextCall returns the parameters of the program's next call.
func (p *program) nextCall() callParams {
	p.seq++
	return callParams{
		program: p.id,
		kind:    p.script.kind.name,
		seq:     p.seq,
		budget:  p.budget,
		key:     fmt.Sprintf("%s:%d", p.id, p.seq),
	}
}

// callModel makes a model call and compares its answer with the expected one.
func (p *program) callModel(ctx context.Context, model string, output int, streamed bool) (string, error) {
	params := openai.ChatCompletionNewParams{Model: model, MaxTokens: openai.Int(int64(output))}
	for i := range p.messages {
		text := p.messages[i].Text()
		if p.messages[i].Role == "assistant" {
			params.Messages = append(params.Messages, openai.AssistantMessage(text))
		} else {
			params.Messages = append(params.Messages, openai.UserMessage(text))
		}
	}
	got, err := p.callRetryingLostAnswer(ctx, params, streamed)
	if err != nil {
		return "", err
	}
	p.spentTokens += got.tokens
	blocks := chat.Blocks(p.messages)
	digest := blocks[len(blocks)-1].Digest
	want := engine.AnswerText(digest, engine.AnswerTokens(digest, uint32(output)))
	p.caller.stats.recordAnswer(got.text == want)
	return got.text, nil
}

// callRetryingLostAnswer makes a model call. If the only copy of the answer was
// lost with a sidecar, it repeats the call as a new one, whose conversation does
// not contain the lost answer.
func (p *program) callRetryingLostAnswer(ctx context.Context, params openai.ChatCompletionNewParams, streamed bool) (answer, error) {
	call := p.nextCall()
	for range maxCallAttempts {
		got, err := p.caller.callModel(ctx, call, params, streamed)
		var apiErr *apiError
		if !errors.As(err, &apiErr) || !apiErr.isAnswerLost() {
			return got, err
		}
		p.caller.stats.retries.Add(1)
		call = p.nextCall()
		call.reset = true
	}
	return answer{}, &apiError{Code: "answer_lost", Outcome: "ran"}
}

func (p *program) useTool(ctx context.Context, kind toolKind) error {
	if kind == noTool {
		return nil
	}
	path := p.caller.scenario.servicePath
	if kind == bookingTool {
		path = p.caller.scenario.bookingPath
	}
	params := p.nextCall()
	outcome, err := p.caller.callTool(ctx, params, path+p.id)
	call := toolCall{key: params.key, nonIdempotent: kind == bookingTool, outcome: outcome}
	p.caller.stats.recordToolCall(call)
	if outcome == "unknown_outcome" && call.nonIdempotent {
		// The call must not be repeated; the program continues without its answer.
		return nil
	}
	return err
}

// runSubAgent runs a sub-agent, whose tokens count toward the program's budget.
func (p *program) runSubAgent(ctx context.Context) error {
	child := &program{
		caller: p.caller,
		id:     fmt.Sprintf("%s/agent-%d", p.id, p.seq),
		script: p.script,
	}
	for range subAgentTurns {
		child.addMessage("user", uniqueText(child.id, len(child.messages), subAgentOutput))
		text, err := child.callModel(ctx, p.script.kind.subModel, subAgentOutput, false)
		p.spentTokens += child.spentTokens
		child.spentTokens = 0
		if err != nil {
			return err
		}
		child.addMessage("assistant", text)
	}
	return nil
}

func (p *program) addMessage(role, text string) {
	content, err := json.Marshal(text)
	if err != nil {
		content = nil
	}
	p.messages = append(p.messages, chat.Message{Role: role, Content: content})
}

// uniqueText returns a text with n filler words that differs from that of every
// other message.
func uniqueText(id string, index, n int) string {
	return fmt.Sprintf("%s message %d", id, index) + strings.Repeat(" word", n)
}
