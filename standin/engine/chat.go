package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/chat"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	port "github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
)

// streamOptions holds the fields of a request that package chat does not parse.
type streamOptions struct {
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// serveChat submits a chat completion request and writes the answer.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	req, err := chat.Parse(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	var options streamOptions
	if err := json.Unmarshal(body, &options); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if err := s.checkFence(r.Header.Get(port.HeaderFence)); err != nil {
		writeError(w, http.StatusConflict, err)
		return
	}
	answer := s.submit(req, options.StreamOptions.IncludeUsage, r.Header.Get(port.HeaderAttempt))
	s.writeAnswer(w, r, answer, 0)
}

// submit submits a request to the model and returns its response, which is
// filled in as the model runs. If name is empty, a name is generated.
func (s *Server) submit(req *chat.Request, includeUsage bool, name string) *response {
	blocks := chat.Blocks(req.Messages)
	digest := blocks[len(blocks)-1].Digest
	limit := req.OutputLimit(defaultMaxTokens)
	total := AnswerTokens(digest, limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	s.jobs++
	if name == "" {
		name = s.nextName()
	}
	r := &response{
		name:         name,
		job:          core.AttemptID{N: s.jobs},
		model:        req.Model,
		created:      time.Now().Unix(),
		stream:       req.Stream,
		includeUsage: includeUsage,
		digest:       digest,
		total:        total,
		limit:        limit,
		changed:      make(chan struct{}),
	}
	s.byJob[r.job] = r
	s.byName[name] = r
	job := Job{ID: r.job, Blocks: blocks, OutputTokens: total}
	if s.model.Fits(job) {
		job.AnswerDigest = chat.ExtendDigest(digest, answerMessage(AnswerText(digest, total)))
	}
	s.model.Submit(job, s.now())
	return r
}

// serveResume sends an answer again from a byte offset. It waits up to one
// heartbeat for an answer that is not streamed, and replies 202 if the answer
// is still not complete.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		offset = 0
	}
	s.mu.Lock()
	answer := s.byName[r.PathValue("name")]
	pending := answer != nil && !answer.stream && !answer.done
	s.mu.Unlock()
	if answer == nil {
		http.NotFound(w, r)
		return
	}
	if pending && !s.awaitDone(r.Context(), answer) {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	s.writeAnswer(w, r, answer, offset)
}

// awaitDone waits up to one heartbeat for an answer that is not streamed and
// reports whether it is complete.
func (s *Server) awaitDone(ctx context.Context, answer *response) bool {
	timer := time.NewTimer(s.options.Heartbeat)
	defer timer.Stop()
	for {
		_, state := s.readAnswer(answer, 0)
		if state.done {
			return true
		}
		select {
		case <-state.changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// answerState is a copy of a response's state, taken under the server's mutex.
type answerState struct {
	status   int
	stream   bool
	done     bool
	canceled bool
	usage    core.Usage
	changed  <-chan struct{}
}

// readAnswer returns the body of an answer from a byte offset on, and the
// answer's state.
func (s *Server) readAnswer(r *response, offset int) ([]byte, answerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := answerState{
		status:   r.status,
		stream:   r.stream,
		done:     r.done,
		canceled: r.canceled,
		usage:    r.usage,
		changed:  r.changed,
	}
	return r.body[min(offset, len(r.body)):], state
}

// writeAnswer writes an answer from a byte offset on, and returns when the
// answer is complete. While a stream is idle it sends heartbeats. A canceled
// answer aborts the connection.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, answer *response, offset int) {
	heartbeat := time.NewTicker(s.options.Heartbeat)
	defer heartbeat.Stop()
	headWritten := false
	for {
		data, state := s.readAnswer(answer, offset)
		if state.canceled {
			panic(http.ErrAbortHandler)
		}
		if state.status != 0 && !headWritten {
			headWritten = true
			writeHead(w, state)
		}
		if len(data) > 0 {
			if _, err := w.Write(data); err != nil {
				return
			}
			offset += len(data)
			flush(w)
		}
		if state.done {
			w.Header().Set(openai.TrailerUsage, openai.FormatUsage(state.usage))
			return
		}
		select {
		case <-state.changed:
		case <-heartbeat.C:
			if headWritten && state.stream {
				_, _ = io.WriteString(w, ": heartbeat\n\n")
				flush(w)
			}
		case <-r.Context().Done():
			return
		}
	}
}

// writeHead writes the status and the headers of an answer.
func writeHead(w http.ResponseWriter, state answerState) {
	w.Header().Set("Trailer", openai.TrailerUsage)
	w.Header().Set("Content-Type", "application/json")
	if state.stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
	}
	w.WriteHeader(state.status)
	flush(w)
}

// flush sends buffered data to the client.
func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// serveModels lists the engine's only model.
func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	writeJSON(w, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", []model{{ID: s.options.Model, Object: "model", Created: s.origin.Unix(), OwnedBy: "standin"}}})
}

// writeError writes an error response of the chat completions API.
func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireError{Error: wireErrorBody{Message: err.Error(), Type: "invalid_request_error"}})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
