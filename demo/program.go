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
	// tightBudget is the budget of a program that will exceed it, in tokens.
	tightBudget = 900
	// subTurns is the number of turns of a sub-agent.
	subTurns = 2
	// subOutput bounds the output of a sub-agent's turn in tokens.
	subOutput = 24
)

// program is a scripted program under way.
type program struct {
	caller *caller
	id     string
	shape  shape
	budget uint64

	seq      int
	messages []chat.Message
	spent    uint64
}

// run runs the program to its end. A nil error means that it finished as it
// was scripted.
func (p *program) run(ctx context.Context) error {
	began := time.Now()
	err := p.turns(ctx)
	var refused *refusal
	exhausted := errors.As(err, &refused) && refused.Code == "budget_exhausted"
	p.caller.stats.budget(p.id, p.budget, p.spent, p.shape.tight && exhausted)
	if p.shape.tight && exhausted {
		err = nil
	}
	if err == nil {
		p.caller.stats.finished(time.Since(began), p.shape.kind.name)
	}
	if endErr := p.caller.end(ctx, p.id); err == nil {
		err = endErr
	}
	return err
}

func (p *program) turns(ctx context.Context) error {
	for _, t := range p.shape.turns {
		if err := p.turn(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

func (p *program) turn(ctx context.Context, t turn) error {
	p.add("user", words(p.id, len(p.messages), t.words))
	text, err := p.ask(ctx, p.shape.kind.model, t.output, t.streamed)
	if err != nil {
		return err
	}
	p.add("assistant", text)
	if err := p.use(ctx, t.tool); err != nil {
		return err
	}
	if t.subAgent {
		if err := p.subAgent(ctx); err != nil {
			return err
		}
	}
	select {
	case <-time.After(t.pause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// next returns the position of the program's next call.
func (p *program) next() position {
	p.seq++
	return position{
		program: p.id,
		kind:    p.shape.kind.name,
		seq:     p.seq,
		budget:  p.budget,
		key:     fmt.Sprintf("%s:%d", p.id, p.seq),
	}
}

// ask makes a model call and checks that its answer is whole and its own.
func (p *program) ask(ctx context.Context, model string, output int, streamed bool) (string, error) {
	params := openai.ChatCompletionNewParams{Model: model, MaxTokens: openai.Int(int64(output))}
	for i := range p.messages {
		text := p.messages[i].Text()
		if p.messages[i].Role == "assistant" {
			params.Messages = append(params.Messages, openai.AssistantMessage(text))
		} else {
			params.Messages = append(params.Messages, openai.UserMessage(text))
		}
	}
	got, err := p.askUntilKept(ctx, params, streamed)
	if err != nil {
		return "", err
	}
	p.spent += got.tokens
	blocks := chat.Blocks(p.messages)
	digest := blocks[len(blocks)-1].Digest
	want := engine.AnswerText(digest, engine.AnswerTokens(digest, uint32(output)))
	p.caller.stats.answered(got.text == want)
	return got.text, nil
}

// askUntilKept asks again, as a new call, when a sidecar has ended with the only
// copy of the answer. The new call does not extend the lost answer.
func (p *program) askUntilKept(ctx context.Context, params openai.ChatCompletionNewParams, streamed bool) (answer, error) {
	at := p.next()
	for range callTries {
		got, err := p.caller.ask(ctx, at, params, streamed)
		var refused *refusal
		if !errors.As(err, &refused) || !refused.answerLost() {
			return got, err
		}
		p.caller.stats.retries.Add(1)
		at = p.next()
		at.reset = true
	}
	return answer{}, &refusal{Code: "answer_lost", Outcome: "ran"}
}

func (p *program) use(ctx context.Context, kind toolKind) error {
	if kind == noTool {
		return nil
	}
	path := p.caller.scenario.service
	if kind == bookingTool {
		path = p.caller.scenario.booking
	}
	at := p.next()
	outcome, err := p.caller.use(ctx, at, path+p.id)
	call := toolCall{key: at.key, nonIdempotent: kind == bookingTool, outcome: outcome}
	p.caller.stats.used(call)
	if outcome == "unknown_outcome" && call.nonIdempotent {
		// The program goes on without repeating the call.
		return nil
	}
	return err
}

// subAgent runs a sub-agent on the program's budget.
func (p *program) subAgent(ctx context.Context) error {
	child := &program{
		caller: p.caller,
		id:     fmt.Sprintf("%s/agent-%d", p.id, p.seq),
		shape:  p.shape,
	}
	for range subTurns {
		child.add("user", words(child.id, len(child.messages), subOutput))
		text, err := child.ask(ctx, p.shape.kind.subModel, subOutput, false)
		p.spent += child.spent
		child.spent = 0
		if err != nil {
			return err
		}
		child.add("assistant", text)
	}
	return nil
}

func (p *program) add(role, text string) {
	content, err := json.Marshal(text)
	if err != nil {
		content = nil
	}
	p.messages = append(p.messages, chat.Message{Role: role, Content: content})
}

// words returns a text of n words that no other message has.
func words(id string, index, n int) string {
	return fmt.Sprintf("%s message %d", id, index) + strings.Repeat(" word", n)
}
