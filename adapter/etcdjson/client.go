package etcdjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// DefaultTimeout bounds a call when Options.Timeout is zero.
const DefaultTimeout = 2 * time.Second

const (
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 64 << 20
	// maxRefusal bounds what is read of a refusal, in bytes.
	maxRefusal = 4096
)

// Options sets up a Client.
type Options struct {
	// Endpoints are URLs or addresses, IP and port, of the service.
	Endpoints []string
	// Prefix stands before every key.
	Prefix string
	// Timeout bounds every call but Watch.
	Timeout time.Duration
	// WatchIdleTimeout is the time without a message after which a watch is given
	// up; zero means never. The service must send progress messages more often.
	WatchIdleTimeout time.Duration
}

// Client is a store.Store.
type Client struct {
	options   Options
	transport *http.Transport
	client    *http.Client
	// current is the index of the endpoint in use.
	current atomic.Uint32
}

var _ store.Store = (*Client)(nil)

// errNoEndpoint is the cause when no endpoint is configured.
var errNoEndpoint = errors.New("no endpoint is configured")

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Endpoints) == 0 {
		return nil, &store.Error{Kind: store.KindRejected, Err: errNoEndpoint}
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	endpoints := make([]string, 0, len(o.Endpoints))
	for _, e := range o.Endpoints {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		endpoints = append(endpoints, strings.TrimRight(e, "/"))
	}
	o.Endpoints = endpoints
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Client{options: o, transport: transport, client: &http.Client{Transport: transport}}, nil
}

// operation is one call of the service.
type operation struct {
	step store.Step
	path string
	// key is the key that errors name.
	key string
	// writes means that a lost answer leaves the outcome unknown.
	writes bool
}

// endpoint returns the endpoint in use.
func (c *Client) endpoint() string {
	return c.options.Endpoints[int(c.current.Load())%len(c.options.Endpoints)]
}

// rotate moves on to the next endpoint after a failure, and forgets idle
// connections, which may have gone silent.
func (c *Client) rotate() {
	c.current.Add(1)
	c.transport.CloseIdleConnections()
}

// call performs an operation with JSON in and out.
func (c *Client) call(ctx context.Context, op operation, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	resp, err := c.send(ctx, op, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out); err != nil {
		c.rotate()
		return c.fail(op, store.KindUnavailable, op.writes, err)
	}
	return nil
}

// send performs a request and returns the response if it is an answer.
func (c *Client) send(ctx context.Context, op operation, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, c.fail(op, store.KindRejected, false, err)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint()+op.path, bytes.NewReader(body))
	if err != nil {
		return nil, c.fail(op, store.KindRejected, false, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		failure := c.fail(op, store.KindUnavailable, op.writes && sent.Load(), err)
		c.rotate()
		return nil, failure
	}
	if resp.StatusCode != http.StatusOK {
		return nil, c.refusal(op, resp)
	}
	return resp, nil
}

// fail returns an error of an operation at the endpoint in use.
func (c *Client) fail(op operation, kind store.Kind, unknown bool, err error) *store.Error {
	return &store.Error{Step: op.step, Peer: c.endpoint(), Key: op.key, Kind: kind, Unknown: unknown, Err: err}
}

// refusal reads a response that is no answer.
func (c *Client) refusal(op operation, resp *http.Response) *store.Error {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	var status Status
	if json.Unmarshal(text, &status) != nil || status.Message == "" {
		status.Message = string(bytes.TrimSpace(text))
	}
	err := fmt.Errorf("status %d: %s", resp.StatusCode, status.Message)
	kind := kindOf(resp.StatusCode, status.Code)
	// A failing server or a gateway may have passed the request on.
	unknown := op.writes && resp.StatusCode >= http.StatusInternalServerError
	return c.fail(op, kind, unknown, err)
}

// kindOf returns the kind of a refusal.
func kindOf(status, code int) store.Kind {
	switch {
	case code == CodeResourceExhausted, status == http.StatusTooManyRequests:
		return store.KindRateLimited
	case code == CodeNotFound:
		return store.KindLeaseLost
	case code == CodeOutOfRange:
		return store.KindCompacted
	case status >= http.StatusInternalServerError:
		return store.KindUnavailable
	}
	return store.KindRejected
}

// full returns the service's name of a key.
func (c *Client) full(key string) []byte { return []byte(c.options.Prefix + key) }

// entry returns a key of the service as the reducers take it.
func (c *Client) entry(kv *KeyValue) core.StoreEntry {
	return core.StoreEntry{
		Key:      strings.TrimPrefix(string(kv.Key), c.options.Prefix),
		Value:    kv.Value,
		Revision: int64(kv.ModRevision),
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (core.StoreEntry, error) {
	op := operation{step: store.StepGet, path: PathRange, key: key}
	var out RangeResponse
	if err := c.call(ctx, op, RangeRequest{Key: c.full(key)}, &out); err != nil {
		return core.StoreEntry{}, err
	}
	return c.only(key, &out), nil
}

// only returns the one key of a range, or the absent key.
func (c *Client) only(key string, r *RangeResponse) core.StoreEntry {
	if len(r.KVs) == 0 {
		return core.StoreEntry{Key: key}
	}
	return c.entry(&r.KVs[0])
}

// Range reads all keys with a prefix.
func (c *Client) Range(ctx context.Context, prefix string) ([]core.StoreEntry, int64, error) {
	op := operation{step: store.StepRange, path: PathRange, key: prefix}
	full := c.full(prefix)
	var out RangeResponse
	if err := c.call(ctx, op, RangeRequest{Key: full, RangeEnd: PrefixEnd(full)}, &out); err != nil {
		return nil, 0, err
	}
	entries := make([]core.StoreEntry, 0, len(out.KVs))
	for i := range out.KVs {
		entries = append(entries, c.entry(&out.KVs[i]))
	}
	return entries, int64(out.Header.Revision), nil
}

// errNoResponse is the cause when a transaction's answer lacks its parts.
var errNoResponse = errors.New("the answer lacks the transaction's responses")

// CompareAndSwap writes a key if its revision is the expected one.
func (c *Client) CompareAndSwap(ctx context.Context, s store.Swap) (store.SwapResult, error) {
	op := operation{step: store.StepSwap, path: PathTxn, key: s.Key, writes: true}
	key := c.full(s.Key)
	write := RequestOp{Put: &PutRequest{Key: key, Value: s.Value, Lease: Int64(s.Lease)}}
	if s.Delete {
		write = RequestOp{Delete: &DeleteRequest{Key: key}}
	}
	in := TxnRequest{
		Compare: []Compare{{Result: ResultEqual, Target: TargetMod, Key: key, ModRevision: Int64(s.Revision)}},
		Success: []RequestOp{write},
		Failure: []RequestOp{{Range: &RangeRequest{Key: key}}},
	}
	var out TxnResponse
	if err := c.call(ctx, op, in, &out); err != nil {
		return store.SwapResult{}, err
	}
	if out.Succeeded {
		return store.SwapResult{Swapped: true, Current: written(s, int64(out.Header.Revision))}, nil
	}
	if len(out.Responses) == 0 || out.Responses[0].Range == nil {
		return store.SwapResult{}, c.fail(op, store.KindUnavailable, false, errNoResponse)
	}
	return store.SwapResult{Current: c.only(s.Key, out.Responses[0].Range)}, nil
}

// written returns the key as a successful swap leaves it.
func written(s store.Swap, revision int64) core.StoreEntry {
	if s.Delete {
		return core.StoreEntry{Key: s.Key}
	}
	return core.StoreEntry{Key: s.Key, Value: s.Value, Revision: revision}
}
