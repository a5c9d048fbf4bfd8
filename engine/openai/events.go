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

// CacheEvents calls fn for every cache event after a sequence number, until ctx
// is done, or the connection breaks or goes silent.
func (t *Target) CacheEvents(ctx context.Context, after uint64, fn func(core.CacheEvent)) error {
	ctx, guard := newGuard(ctx, t.options.IdleTimeout)
	defer guard.stop()
	path := fmt.Sprintf("%s?after=%d", PathEvents, after)
	req, err := http.NewRequest(http.MethodGet, t.url(path), nil)
	if err != nil {
		return t.fail(engine.StepEvents, false, err)
	}
	resp, err := t.send(ctx, engine.StepEvents, req)
	if err != nil {
		t.transport.CloseIdleConnections()
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return t.refusal(engine.StepEvents, resp)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(&guardedReader{r: resp.Body, guard: guard})
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e WireEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return t.fail(engine.StepEvents, true, err)
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
	return t.fail(engine.StepEvents, true, err)
}
