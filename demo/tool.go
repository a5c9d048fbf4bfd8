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

// maxAnswerBytes limits the answer of a tool.
const maxAnswerBytes = 1 << 20

// toolCall is a call of a tool or plain service and its outcome.
type toolCall struct {
	key           string
	nonIdempotent bool
	// outcome is ran, not_run or unknown_outcome, as reported to the caller.
	outcome string
}

// errAnswerMismatch means that the echoed request is not the one sent.
var errAnswerMismatch = errors.New("the answer belongs to another request")

// callTool sends a tool call up to maxCallAttempts times with the same
// idempotency key, and returns the outcome. It returns early after an answer, a
// permanent error or an unknown outcome.
func (c *caller) callTool(ctx context.Context, call callParams, path string) (string, error) {
	body := "request " + call.key
	var lastErr error
	for range maxCallAttempts {
		var echo tool.Echo
		echo, lastErr = c.callToolOnce(ctx, call, path, body)
		if lastErr == nil {
			if echo.Body != body || echo.Key != call.key {
				c.stats.wrongToolAnswers.Add(1)
				return "ran", errAnswerMismatch
			}
			return "ran", nil
		}
		var apiErr *apiError
		if errors.As(lastErr, &apiErr) && (apiErr.isPermanent() || apiErr.Outcome == "unknown_outcome") {
			return apiErr.Outcome, lastErr
		}
		if ctx.Err() != nil {
			break
		}
		c.stats.retries.Add(1)
		time.Sleep(retryDelay)
	}
	var apiErr *apiError
	if errors.As(lastErr, &apiErr) {
		return apiErr.Outcome, lastErr
	}
	return "unknown_outcome", lastErr
}

func (c *caller) callToolOnce(ctx context.Context, call callParams, path, body string) (tool.Echo, error) {
	var echo tool.Echo
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://balancer"+path, strings.NewReader(body))
	if err != nil {
		return echo, err
	}
	req.Header.Set("Authorization", "Bearer "+c.scenario.apiKey)
	for name, value := range call.headers() {
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
			Error apiError `json:"error"`
		}
		if err := json.Unmarshal(data, &wrapped); err != nil {
			return echo, err
		}
		return echo, &wrapped.Error
	}
	return echo, json.Unmarshal(data, &echo)
}
