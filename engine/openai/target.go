package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
)

// Options configure a Target. Fields that are zero are replaced by the
// defaults.
type Options struct {
	// IdleTimeout is the time without a byte after which a connection is abandoned
	// and the answer is resumed over a new one.
	IdleTimeout time.Duration
	// MaxResumes is the tolerated number of consecutive failed resumes of an
	// answer. One more failure ends the attempt.
	MaxResumes int
	// Backoff is the delay before each request to resume an answer.
	Backoff time.Duration
	// Timeout bounds every operation except Run and CacheEvents.
	Timeout time.Duration
	// Transport makes the connections; if it is nil the target creates one.
	Transport *http.Transport
}

// Defaults of Options.
const (
	DefaultIdleTimeout = 3 * time.Second
	DefaultMaxResumes  = 3
	DefaultBackoff     = 100 * time.Millisecond
	DefaultTimeout     = 5 * time.Second
)

// maxErrorBody bounds how much of an error response is read, in bytes.
const maxErrorBody = 4096

// Target is a client for a model engine over HTTP. It implements engine.Target.
type Target struct {
	addr      string
	options   Options
	transport *http.Transport
	client    *http.Client
}

var _ engine.Target = (*Target)(nil)

// New returns a target at addr, an IP address and port.
func New(addr string, o Options) *Target {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxResumes <= 0 {
		o.MaxResumes = DefaultMaxResumes
	}
	if o.Backoff <= 0 {
		o.Backoff = DefaultBackoff
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	transport := o.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true}
	}
	return &Target{addr: addr, options: o, transport: transport, client: &http.Client{Transport: transport}}
}

// newError returns an error for a step at this target. sent means that the target
// may have received the request.
func (t *Target) newError(step engine.Step, sent bool, err error) *engine.Error {
	return &engine.Error{Step: step, Peer: t.addr, Sent: sent, Reason: core.ReasonTargetFailed, Err: err}
}

// url returns the URL of a path.
func (t *Target) url(path string) string { return "http://" + t.addr + path }

// send performs a request. The error's Sent is true if a connection was obtained,
// because the target may then have received the request.
func (t *Target) send(ctx context.Context, step engine.Step, req *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := t.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, t.newError(step, sent.Load(), err)
	}
	return resp, nil
}

// responseError reads an error response and returns it as an error. It closes the
// body. The error's Sent is true only for a server error other than 503, after
// which the request may have been executed.
func (t *Target) responseError(step engine.Step, resp *http.Response) *engine.Error {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	e := t.newError(step, resp.StatusCode >= http.StatusInternalServerError, fmt.Errorf("%s", bytes.TrimSpace(text)))
	e.Status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusConflict:
		e.Reason = core.ReasonStaleEpoch
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		e.Reason = core.ReasonOverload
		e.Sent = false
	}
	return e
}

// callJSON performs an operation with optional JSON request and response bodies.
func (t *Target) callJSON(ctx context.Context, step engine.Step, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, t.options.Timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return t.newError(step, false, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, t.url(path), body)
	if err != nil {
		return t.newError(step, false, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.send(ctx, step, req)
	if err != nil {
		t.transport.CloseIdleConnections()
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return t.responseError(step, resp)
	}
	defer resp.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	if err != nil {
		return t.newError(step, true, err)
	}
	return nil
}

// Cancel stops an attempt. It succeeds if the attempt has ended already.
func (t *Target) Cancel(ctx context.Context, attempt core.AttemptID) error {
	path := PathResponses + attempt.String() + "/cancel"
	err := t.callJSON(ctx, engine.StepCancel, http.MethodPost, path, nil, nil)
	if e, ok := err.(*engine.Error); ok && e.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// Load returns the load that the engine reports.
func (t *Target) Load(ctx context.Context) (core.TargetLoad, error) {
	var w WireLoad
	err := t.callJSON(ctx, engine.StepLoad, http.MethodGet, PathLoad, nil, &w)
	return w.Core(), err
}

// ListCache returns the content of the prefix cache.
func (t *Target) ListCache(ctx context.Context) (engine.Listing, error) {
	var l engine.Listing
	err := t.callJSON(ctx, engine.StepListCache, http.MethodGet, PathCache, nil, &l)
	return l, err
}

// Release drops blocks from the prefix cache.
func (t *Target) Release(ctx context.Context, digests []uint64) error {
	return t.callJSON(ctx, engine.StepRelease, http.MethodPost, PathRelease, WireRelease{Digests: digests}, nil)
}

// Export reads the cached prefix of a conversation.
func (t *Target) Export(ctx context.Context, blocks []core.Block) (engine.KV, error) {
	var kv engine.KV
	err := t.callJSON(ctx, engine.StepExport, http.MethodPost, PathExport, WireBlocks{Blocks: blocks}, &kv)
	return kv, err
}

// Import stores an exported prefix and returns the number of tokens newly
// stored.
func (t *Target) Import(ctx context.Context, kv engine.KV) (uint64, error) {
	var out WireImported
	err := t.callJSON(ctx, engine.StepImport, http.MethodPost, PathImport, kv, &out)
	return out.Tokens, err
}

// Execute sends a command.
func (t *Target) Execute(ctx context.Context, command engine.Command) error {
	return t.callJSON(ctx, engine.StepCommand, http.MethodPost, PathCommands, command, nil)
}

// isStream reports whether a response is a stream of server-sent events.
func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}
