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
	if !readJSON(w, r, &in) {
		return
	}
	s.data.mu.Lock()
	out := s.data.rangeKeys(&in)
	s.data.mu.Unlock()
	writeJSON(w, out)
}

// transact validates and executes a transaction. If it is not valid, transact
// replies with an error and returns false.
func (s *Server) transact(w http.ResponseWriter, t *etcdjson.TxnRequest) (*etcdjson.TxnResponse, bool) {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	for _, op := range append(t.Success[:len(t.Success):len(t.Success)], t.Failure...) {
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > maxValue {
			writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "etcdserver: request is too large")
			return nil, false
		}
		if op.Put.Lease != 0 && s.data.leases[int64(op.Put.Lease)] == nil {
			writeError(w, http.StatusNotFound, etcdjson.CodeNotFound, "etcdserver: requested lease not found")
			return nil, false
		}
	}
	return s.data.transact(t), true
}

// serveTxn executes a transaction.
func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.TxnRequest
	if !readJSON(w, r, &in) {
		return
	}
	if out, ok := s.transact(w, &in); ok {
		writeJSON(w, out)
	}
}

// servePut writes a key.
func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.PutRequest
	if !readJSON(w, r, &in) {
		return
	}
	txn := etcdjson.TxnRequest{Success: []etcdjson.RequestOp{{Put: &in}}}
	if out, ok := s.transact(w, &txn); ok {
		writeJSON(w, etcdjson.PutResponse{Header: out.Header})
	}
}

// serveDelete deletes keys.
func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.DeleteRequest
	if !readJSON(w, r, &in) {
		return
	}
	txn := etcdjson.TxnRequest{Success: []etcdjson.RequestOp{{Delete: &in}}}
	if out, ok := s.transact(w, &txn); ok {
		response := out.Responses[0].Delete
		response.Header = out.Header
		writeJSON(w, response)
	}
}

// serveGrant grants a lease.
func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.GrantRequest
	if !readJSON(w, r, &in) {
		return
	}
	ttl := max(in.TTL, 1)
	s.data.mu.Lock()
	id := s.data.grantLease(int64(in.ID), time.Duration(ttl)*time.Second)
	header := s.data.header()
	s.data.mu.Unlock()
	writeJSON(w, etcdjson.GrantResponse{Header: header, ID: etcdjson.Int64(id), TTL: ttl})
}

// serveKeepAlive renews a lease.
func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.LeaseRequest
	if !readJSON(w, r, &in) {
		return
	}
	var out etcdjson.KeepAliveResponse
	s.data.mu.Lock()
	out.Result.Header = s.data.header()
	out.Result.ID = in.ID
	out.Result.TTL = etcdjson.Int64(s.data.renewLease(int64(in.ID)) / time.Second)
	s.data.mu.Unlock()
	writeJSON(w, out)
}

// serveRevoke ends a lease before it expires.
func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.LeaseRequest
	if !readJSON(w, r, &in) {
		return
	}
	s.data.mu.Lock()
	ended := s.data.endLease(int64(in.ID))
	header := s.data.header()
	s.data.mu.Unlock()
	if !ended {
		writeError(w, http.StatusNotFound, etcdjson.CodeNotFound, "etcdserver: requested lease not found")
		return
	}
	writeJSON(w, etcdjson.RevokeResponse{Header: header})
}

// serveWatch streams the changes of a range until the peer disconnects or an
// outage begins.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.WatchRequest
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	outageBegan := s.outageBegan
	s.mu.Unlock()
	progress := time.NewTicker(s.options.Progress)
	defer progress.Stop()
	encoder := json.NewEncoder(w)
	message, changed := s.beginWatch(&in.Create)
	next := int64(in.Create.StartRevision)
	for {
		if encoder.Encode(etcdjson.WatchResponse{Result: message}) != nil || message.Canceled {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		next = max(next, int64(message.Header.Revision)+1)
		select {
		case <-changed:
		case <-progress.C:
		case <-outageBegan:
			return
		case <-r.Context().Done():
			return
		}
		message, changed = s.nextWatch(&in.Create, next)
	}
}

// beginWatch returns the first message of a watch, which contains the changes
// since the watch's start revision. It also returns a channel that is closed on
// the next change.
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
	result.Events = s.data.changesSince(in.Key, in.RangeEnd, int64(in.StartRevision))
	return result, s.data.changed
}

// nextWatch returns a message with the changes from a revision on, and a channel
// that is closed on the next change.
func (s *Server) nextWatch(in *etcdjson.WatchCreate, from int64) (etcdjson.WatchResult, <-chan struct{}) {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	result := etcdjson.WatchResult{Header: s.data.header()}
	result.Events = s.data.changesSince(in.Key, in.RangeEnd, from)
	return result, s.data.changed
}
