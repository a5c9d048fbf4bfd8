package demo

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/standin/tool"
)

// maxAnswerBytes bounds the answer of a tool.
const maxAnswerBytes = 1 << 20

// toolCall is a call of a tool or plain service and what became of it.
type toolCall struct {
	key           string
	nonIdempotent bool
	// outcome is ran, not_run or unknown_outcome as the caller learned it.
	outcome string
}

// errOtherAnswer is the cause when an answer belongs to another request.
var errOtherAnswer = errors.New("the answer belongs to another request")

// use sends a tool call until it has an answer or a final refusal, always under
// the same idempotency key.
func (c *caller) use(ctx context.Context, at position, path string) (string, error) {
	body := "request " + at.key
	var last error
	for range callTries {
		var echo tool.Echo
		echo, last = c.useOnce(ctx, at, path, body)
		if last == nil {
			if echo.Body != body || echo.Key != at.key {
				c.stats.foreign.Add(1)
				return "ran", errOtherAnswer
			}
			return "ran", nil
		}
		var refused *refusal
		if errors.As(last, &refused) && (refused.final() || refused.Outcome == "unknown_outcome") {
			return refused.Outcome, last
		}
		if ctx.Err() != nil {
			break
		}
		c.stats.retries.Add(1)
		time.Sleep(retryPause)
	}
	var refused *refusal
	if errors.As(last, &refused) {
		return refused.Outcome, last
	}
	return "unknown_outcome", last
}

func (c *caller) useOnce(ctx context.Context, at position, path, body string) (tool.Echo, error) {
	var echo tool.Echo
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://balancer"+path, strings.NewReader(body))
	if err != nil {
		return echo, err
	}
	req.Header.Set("Authorization", "Bearer "+c.scenario.key)
	for name, value := range at.headers() {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return echo, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return echo, err
	}
	if resp.StatusCode != http.StatusOK {
		var wrapped struct {
			Error refusal `json:"error"`
		}
		if err := json.Unmarshal(data, &wrapped); err != nil {
			return echo, err
		}
		return echo, &wrapped.Error
	}
	return echo, json.Unmarshal(data, &echo)
}
