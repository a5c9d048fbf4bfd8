package openai

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
)

// maxEventLine bounds the line of one cache event, in bytes.
const maxEventLine = 4 << 20

// CacheEvents calls fn for every cache event that follows the given sequence number.
// It returns when ctx is done, the connection is lost or the idle timeout expires.
func (t *Target) CacheEvents(ctx context.Context, after uint64, fn func(core.CacheEvent)) error {
	ctx, idleTimer := withIdleTimeout(ctx, t.options.IdleTimeout)
	defer idleTimer.stop()
	path := fmt.Sprintf("%s?after=%d", PathEvents, after)
	req, err := http.NewRequest(http.MethodGet, t.url(path), nil)
	if err != nil {
		return t.newError(engine.StepEvents, false, err)
	}
	resp, err := t.send(ctx, engine.StepEvents, req)
	if err != nil {
		t.transport.CloseIdleConnections()
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return t.responseError(engine.StepEvents, resp)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(&idleTimeoutReader{r: resp.Body, idleTimer: idleTimer})
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e WireEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return t.newError(engine.StepEvents, true, err)
		}
		fn(core.CacheEvent{Sequence: e.Sequence, Stored: e.Stored, Evicted: e.Evicted})
	}
	err = lines.Err()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if err == nil {
		err = io.EOF
	}
	return t.newError(engine.StepEvents, true, err)
}
