package kv

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/etcdjson"
)

// serveRange reads keys.
func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.RangeRequest
	if !read(w, r, &in) {
		return
	}
	s.data.mu.Lock()
	out := s.data.read(&in)
	s.data.mu.Unlock()
	write(w, out)
}

// transact checks and runs a transaction; false means that it was refused.
func (s *Server) transact(w http.ResponseWriter, t *etcdjson.TxnRequest) (*etcdjson.TxnResponse, bool) {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	for _, op := range append(t.Success[:len(t.Success):len(t.Success)], t.Failure...) {
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > maxValue {
			refuse(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "etcdserver: request is too large")
			return nil, false
		}
		if op.Put.Lease != 0 && s.data.leases[int64(op.Put.Lease)] == nil {
			refuse(w, http.StatusNotFound, etcdjson.CodeNotFound, "etcdserver: requested lease not found")
			return nil, false
		}
	}
	return s.data.transact(t), true
}

// serveTxn runs a transaction.
func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.TxnRequest
	if !read(w, r, &in) {
		return
	}
	if out, ok := s.transact(w, &in); ok {
		write(w, out)
	}
}

// servePut writes a key.
func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.PutRequest
	if !read(w, r, &in) {
		return
	}
	txn := etcdjson.TxnRequest{Success: []etcdjson.RequestOp{{Put: &in}}}
	if out, ok := s.transact(w, &txn); ok {
		write(w, etcdjson.PutResponse{Header: out.Header})
	}
}

// serveDelete removes keys.
func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.DeleteRequest
	if !read(w, r, &in) {
		return
	}
	txn := etcdjson.TxnRequest{Success: []etcdjson.RequestOp{{Delete: &in}}}
	if out, ok := s.transact(w, &txn); ok {
		answer := out.Responses[0].Delete
		answer.Header = out.Header
		write(w, answer)
	}
}

// serveGrant starts a lease.
func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.GrantRequest
	if !read(w, r, &in) {
		return
	}
	ttl := max(in.TTL, 1)
	s.data.mu.Lock()
	id := s.data.grant(int64(in.ID), time.Duration(ttl)*time.Second)
	header := s.data.header()
	s.data.mu.Unlock()
	write(w, etcdjson.GrantResponse{Header: header, ID: etcdjson.Int64(id), TTL: ttl})
}

// serveKeepAlive starts a lease's time anew.
func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.LeaseRequest
	if !read(w, r, &in) {
		return
	}
	var out etcdjson.KeepAliveResponse
	s.data.mu.Lock()
	out.Result.Header = s.data.header()
	out.Result.ID = in.ID
	out.Result.TTL = etcdjson.Int64(s.data.keepAlive(int64(in.ID)) / time.Second)
	s.data.mu.Unlock()
	write(w, out)
}

// serveRevoke ends a lease.
func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.LeaseRequest
	if !read(w, r, &in) {
		return
	}
	s.data.mu.Lock()
	ended := s.data.end(int64(in.ID))
	header := s.data.header()
	s.data.mu.Unlock()
	if !ended {
		refuse(w, http.StatusNotFound, etcdjson.CodeNotFound, "etcdserver: requested lease not found")
		return
	}
	write(w, etcdjson.RevokeResponse{Header: header})
}

// serveWatch streams the changes of a range until the peer goes or an outage
// begins.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.WatchRequest
	if !read(w, r, &in) {
		return
	}
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	progress := time.NewTicker(s.options.Progress)
	defer progress.Stop()
	encoder := json.NewEncoder(w)
	result, changed := s.beginWatch(&in.Create)
	next := int64(in.Create.StartRevision)
	for {
		if encoder.Encode(etcdjson.WatchResponse{Result: result}) != nil || result.Canceled {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		next = max(next, int64(result.Header.Revision)+1)
		select {
		case <-changed:
		case <-progress.C:
		case <-broken:
			return
		case <-r.Context().Done():
			return
		}
		result, changed = s.nextWatch(&in.Create, next)
	}
}

// beginWatch returns the first message of a watch, which holds the changes that
// it has missed.
func (s *Server) beginWatch(in *etcdjson.WatchCreate) (etcdjson.WatchResult, <-chan struct{}) {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	result := etcdjson.WatchResult{Header: s.data.header(), Created: true}
	if in.StartRevision == 0 {
		return result, s.data.changed
	}
	if int64(in.StartRevision) <= s.data.compacted {
		result.Canceled = true
		result.CompactRevision = etcdjson.Int64(s.data.compacted)
		return result, s.data.changed
	}
	result.Events = s.data.since(in.Key, in.RangeEnd, int64(in.StartRevision))
	return result, s.data.changed
}

// nextWatch returns the changes from a revision on.
func (s *Server) nextWatch(in *etcdjson.WatchCreate, from int64) (etcdjson.WatchResult, <-chan struct{}) {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	result := etcdjson.WatchResult{Header: s.data.header()}
	result.Events = s.data.since(in.Key, in.RangeEnd, from)
	return result, s.data.changed
}
