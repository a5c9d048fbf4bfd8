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
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 64 << 20
	// maxErrorBytes bounds how much of an error response is read.
	maxErrorBytes = 4096
)

// Options configure a Client.
type Options struct {
	// Endpoints are the URLs, or IP addresses and ports, of the service.
	Endpoints []string
	// Prefix is prepended to every key.
	Prefix string
	// Timeout bounds every call except Watch.
	Timeout time.Duration
	// WatchIdleTimeout is the time without a message after which a watch fails;
	// zero means never. It must exceed the interval of the service's progress
	// messages.
	WatchIdleTimeout time.Duration
}

// Client implements store.Store.
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

// New returns a client. It fails if no endpoint is configured.
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

// operation describes a call to the service: where it is sent, and what its errors
// report.
type operation struct {
	step store.Step
	path string
	// key is the key to report in errors.
	key string
	// writes is set if the call changes data; its outcome is then unknown if the
	// response is lost.
	writes bool
}

// endpoint returns the endpoint in use.
func (c *Client) endpoint() string {
	return c.options.Endpoints[int(c.current.Load())%len(c.options.Endpoints)]
}

// switchEndpoint selects the next endpoint after a failure. It also closes idle
// connections, because they may have become unresponsive.
func (c *Client) switchEndpoint() {
	c.current.Add(1)
	c.transport.CloseIdleConnections()
}

// call performs an operation with JSON request and response bodies.
func (c *Client) call(ctx context.Context, op operation, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	resp, err := c.send(ctx, op, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		c.switchEndpoint()
		return c.newError(op, store.KindUnavailable, op.writes, err)
	}
	return nil
}

// send performs a request and returns the response. A status other than 200 is
// returned as an error.
func (c *Client) send(ctx context.Context, op operation, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, c.newError(op, store.KindRejected, false, err)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint()+op.path, bytes.NewReader(body))
	if err != nil {
		return nil, c.newError(op, store.KindRejected, false, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		sendErr := c.newError(op, store.KindUnavailable, op.writes && sent.Load(), err)
		c.switchEndpoint()
		return nil, sendErr
	}
	if resp.StatusCode != http.StatusOK {
		return nil, c.responseError(op, resp)
	}
	return resp, nil
}

// newError returns an error for an operation at the endpoint in use.
func (c *Client) newError(op operation, kind store.Kind, unknown bool, err error) *store.Error {
	return &store.Error{Step: op.step, Peer: c.endpoint(), Key: op.key, Kind: kind, Unknown: unknown, Err: err}
}

// responseError reads an error response and returns it as an error. It closes the
// body.
func (c *Client) responseError(op operation, resp *http.Response) *store.Error {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var status Status
	if json.Unmarshal(text, &status) != nil || status.Message == "" {
		status.Message = string(bytes.TrimSpace(text))
	}
	err := fmt.Errorf("status %d: %s", resp.StatusCode, status.Message)
	kind := kindOf(resp.StatusCode, status.Code)
	// A failing server or gateway may have forwarded the request.
	unknown := op.writes && resp.StatusCode >= http.StatusInternalServerError
	return c.newError(op, kind, unknown, err)
}

// kindOf returns the kind of an error from its HTTP status and API code.
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

// fullKey returns a key with the client's prefix.
func (c *Client) fullKey(key string) []byte { return []byte(c.options.Prefix + key) }

// toStoreRecord converts a key-value pair of the service; it removes the
// client's prefix from the key.
func (c *Client) toStoreRecord(kv *KeyValue) core.StoreRecord {
	return core.StoreRecord{
		Key:      strings.TrimPrefix(string(kv.Key), c.options.Prefix),
		Value:    kv.Value,
		Revision: int64(kv.ModRevision),
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (core.StoreRecord, error) {
	op := operation{step: store.StepGet, path: PathRange, key: key}
	var out RangeResponse
	if err := c.call(ctx, op, RangeRequest{Key: c.fullKey(key)}, &out); err != nil {
		return core.StoreRecord{}, err
	}
	return c.firstOrAbsent(key, &out), nil
}

// firstOrAbsent returns the first record of a range response. If the response is
// empty, it returns a record with revision zero, which means an absent key.
func (c *Client) firstOrAbsent(key string, r *RangeResponse) core.StoreRecord {
	if len(r.KVs) == 0 {
		return core.StoreRecord{Key: key}
	}
	return c.toStoreRecord(&r.KVs[0])
}

// Range reads all keys that begin with prefix, and the revision of the store.
func (c *Client) Range(ctx context.Context, prefix string) ([]core.StoreRecord, int64, error) {
	op := operation{step: store.StepRange, path: PathRange, key: prefix}
	fullKey := c.fullKey(prefix)
	var out RangeResponse
	if err := c.call(ctx, op, RangeRequest{Key: fullKey, RangeEnd: PrefixEnd(fullKey)}, &out); err != nil {
		return nil, 0, err
	}
	records := make([]core.StoreRecord, 0, len(out.KVs))
	for i := range out.KVs {
		records = append(records, c.toStoreRecord(&out.KVs[i]))
	}
	return records, int64(out.Header.Revision), nil
}

// errNoResponse is the cause when the response to a transaction whose comparison
// failed does not contain the range response with the key's current state.
var errNoResponse = errors.New("the transaction's response contains no range response")

// CompareAndSwap writes a key if it has the expected revision.
func (c *Client) CompareAndSwap(ctx context.Context, s store.CompareAndSwapRequest) (store.CompareAndSwapResult, error) {
	op := operation{step: store.StepCompareAndSwap, path: PathTxn, key: s.Key, writes: true}
	key := c.fullKey(s.Key)
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
		return store.CompareAndSwapResult{}, err
	}
	if out.Succeeded {
		return store.CompareAndSwapResult{Swapped: true, Current: recordAfter(s, int64(out.Header.Revision))}, nil
	}
	if len(out.Responses) == 0 || out.Responses[0].Range == nil {
		return store.CompareAndSwapResult{}, c.newError(op, store.KindUnavailable, false, errNoResponse)
	}
	return store.CompareAndSwapResult{Current: c.firstOrAbsent(s.Key, out.Responses[0].Range)}, nil
}

// recordAfter returns the record of the key after a successful swap.
func recordAfter(s store.CompareAndSwapRequest, revision int64) core.StoreRecord {
	if s.Delete {
		return core.StoreRecord{Key: s.Key}
	}
	return core.StoreRecord{Key: s.Key, Value: s.Value, Revision: revision}
}
