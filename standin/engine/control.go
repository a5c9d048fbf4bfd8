package engine

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	port "github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
)

// errOldFence refuses what carries a fencing number below the highest seen.
var errOldFence = errors.New("the fencing number is older than one already seen")

// checkFence checks the fencing number of a call.
func (s *Server) checkFence(header string) error {
	if header == "" || !s.options.ChecksFence {
		return nil
	}
	slot, epoch, err := port.ParseFence(header)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raiseFence(slot, epoch)
}

// raiseFence refuses an old epoch and remembers a new one.
func (s *Server) raiseFence(slot core.SlotID, epoch core.Epoch) error {
	if epoch.Less(s.fences[slot]) {
		return errOldFence
	}
	s.fences[slot] = epoch
	return nil
}

// serveCancel stops an attempt.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.byName[r.PathValue("name")]
	if answer == nil || !s.model.Cancel(answer.job, s.now()) {
		http.NotFound(w, r)
		return
	}
	answer.canceled = true
	s.retire(answer)
	s.wake()
	writeJSON(w, struct{}{})
}

// serveLoad answers with a load report that may be as old as LoadLag.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.loadAt.IsZero() || now.Sub(s.loadAt) >= s.options.MaxLoadAge {
		s.loadAt = now
		s.load = wireLoad(s.model.Load())
	}
	writeJSON(w, s.load)
}

// wireLoad returns the JSON form of a load.
func wireLoad(l Load) openai.WireLoad {
	return openai.WireLoad{
		Running:     l.Running,
		Waiting:     l.Waiting,
		CacheTokens: l.CacheTokens,
		CacheUsed:   l.CacheUsed,
		PrefillRate: l.PrefillRate,
		StepTime:    l.StepTime,
	}
}

// serveListing answers with the content of the prefix cache.
func (s *Server) serveListing(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, port.Listing{Digests: s.model.Listing(), Sequence: s.events.last})
}

// serveEvents streams cache events.
func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "application/jsonl")
	flush(w)
	encoder := json.NewEncoder(w)
	for {
		due, changed, wait := s.dueEvents(after)
		for _, e := range due {
			if encoder.Encode(e) != nil {
				return
			}
			after = e.Sequence
		}
		if len(due) == 0 {
			_, _ = w.Write([]byte("\n"))
		}
		flush(w)
		if !s.pause(r.Context(), changed, wait) {
			return
		}
	}
}

// dueEvents returns the events to send, what announces others, and how long to
// wait at most.
func (s *Server) dueEvents(after uint64) ([]openai.WireEvent, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due, wait := s.events.after(after, time.Now().Add(-s.options.EventDelay))
	if wait > 0 {
		// An event that is known but not due needs no announcement.
		return due, nil, min(wait, s.options.Heartbeat)
	}
	return due, s.events.changed, s.options.Heartbeat
}

// pause waits for an announcement or a time; false means that the peer is gone.
func (s *Server) pause(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// serveRelease drops blocks from the prefix cache.
func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var in openai.WireRelease
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Release(in.Digests, s.now())
	s.wake()
	writeJSON(w, struct{}{})
}

// serveExport answers with a cached prefix after the time of its transfer.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var in openai.WireBlocks
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	found, cost := s.model.Export(in.Blocks, s.now())
	s.mu.Unlock()
	if s.pause(r.Context(), nil, time.Duration(cost)) {
		writeJSON(w, port.KV{Blocks: found})
	}
}

// serveImport stores a prefix after the time of its transfer.
func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var in port.KV
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	tokens, cost := s.model.Import(in.Blocks, s.now())
	s.mu.Unlock()
	s.wake()
	if s.pause(r.Context(), nil, time.Duration(cost)) {
		writeJSON(w, openai.WireImported{Tokens: tokens})
	}
}

// serveOrder accepts an order unless its fencing number is old.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var in port.Command
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksFence {
		if err := s.raiseFence(core.SlotID(in.Slot), in.Fence); err != nil {
			writeError(w, http.StatusConflict, err)
			return
		}
	}
	s.orders = append(s.orders, in)
	writeJSON(w, struct{}{})
}

// serveOrders answers with the accepted orders.
func (s *Server) serveOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, slices.Clone(s.orders))
}

// serveExecutions answers with the executions of every attempt.
func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, maps.Clone(s.executions))
}

// serveWaste answers with the account of wasted cache.
func (s *Server) serveWaste(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.model.Waste())
}

// readJSON reads the body of a request, or answers with an error.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}
