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

// errStaleFence is the error for a call or command whose fencing number is below
// the highest one seen for its slot.
var errStaleFence = errors.New("the fencing number is older than one already seen")

// checkFence checks the fencing number of a call, if the call has one and
// Options.ChecksFence is set.
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
	return s.advanceFence(slot, epoch)
}

// advanceFence rejects an epoch below the slot's highest one and records a
// higher one.
func (s *Server) advanceFence(slot core.SlotID, epoch core.Epoch) error {
	if epoch.Less(s.fences[slot]) {
		return errStaleFence
	}
	s.fences[slot] = epoch
	return nil
}

// serveCancel cancels an attempt.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.byName[r.PathValue("name")]
	if answer == nil || !s.model.Cancel(answer.job, s.now()) {
		http.NotFound(w, r)
		return
	}
	answer.canceled = true
	s.endJob(answer)
	s.wake()
	writeJSON(w, struct{}{})
}

// serveLoad replies with a load report that is at most MaxLoadAge old.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.loadTime.IsZero() || now.Sub(s.loadTime) >= s.options.MaxLoadAge {
		s.loadTime = now
		s.load = wireLoad(s.model.Load())
	}
	writeJSON(w, s.load)
}

// wireLoad converts a load report to its JSON form.
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

// serveListing replies with the digests of the prefix cache and the number of
// the latest cache event.
func (s *Server) serveListing(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, port.Listing{Digests: s.model.Listing(), Sequence: s.events.lastSequence})
}

// serveEvents streams the cache events with a number above a given one. A
// heartbeat is an empty line.
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
		if !s.waitForChange(r.Context(), changed, wait) {
			return
		}
	}
}

// dueEvents returns the events that are due, a channel that is closed when
// another event is added, and the maximum time to wait before the next check.
func (s *Server) dueEvents(after uint64) ([]openai.WireEvent, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due, wait := s.events.dueAfter(after, time.Now().Add(-s.options.EventDelay))
	if wait > 0 {
		// The next event is already in the log and becomes due after its delay.
		return due, nil, min(wait, s.options.Heartbeat)
	}
	return due, s.events.changed, s.options.Heartbeat
}

// waitForChange waits until changed is closed or the time has passed, and
// returns true. It returns false if the peer disconnects first, which ends ctx.
func (s *Server) waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) bool {
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

// serveRelease removes blocks from the prefix cache.
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

// serveExport replies with a cached prefix after the simulated transfer time.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var in openai.WireBlocks
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	found, cost := s.model.Export(in.Blocks, s.now())
	s.mu.Unlock()
	if s.waitForChange(r.Context(), nil, time.Duration(cost)) {
		writeJSON(w, port.KV{Blocks: found})
	}
}

// serveImport stores a prefix and replies after the simulated transfer time.
func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var in port.KV
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	tokens, cost := s.model.Import(in.Blocks, s.now())
	s.mu.Unlock()
	s.wake()
	if s.waitForChange(r.Context(), nil, time.Duration(cost)) {
		writeJSON(w, openai.WireImported{Tokens: tokens})
	}
}

// serveCommand accepts a command unless its fencing number is stale.
func (s *Server) serveCommand(w http.ResponseWriter, r *http.Request) {
	var in port.Command
	if !readJSON(w, r, &in) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.ChecksFence {
		if err := s.advanceFence(core.SlotID(in.Slot), in.Fence); err != nil {
			writeError(w, http.StatusConflict, err)
			return
		}
	}
	s.commands = append(s.commands, in)
	writeJSON(w, struct{}{})
}

// serveCommands replies with the accepted commands.
func (s *Server) serveCommands(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, slices.Clone(s.commands))
}

// serveExecutions replies with the number of executions of every attempt.
func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, maps.Clone(s.executions))
}

// serveWaste replies with the cache's waste counters.
func (s *Server) serveWaste(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.model.Waste())
}

// readJSON decodes the body of a request. If that fails it replies with an error
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return false
	}
	return true
}
