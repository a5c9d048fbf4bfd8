// Package vmlist is a stand-in for the platform's VM list over HTTP.
//
// GET /vms answers with the list as it was a lag ago, in the format of package
// adapter/vmlist; PUT /vms replaces it. The faults are those of package
// standin/fault.
package vmlist

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/vmlist"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/fault"
)

// maxBody bounds the body of a request in bytes.
const maxBody = 16 << 20

// Server is a VM list that lags.
type Server struct {
	*fault.Server
	lag time.Duration

	mu       sync.Mutex
	versions []version
}

// version is a list and when it came into force.
type version struct {
	data []byte
	at   time.Time
}

// NewServer returns an empty list that shows changes after a lag; Start makes
// it listen.
func NewServer(lag time.Duration) *Server {
	s := &Server{lag: lag}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", s.serveGet)
	mux.HandleFunc("PUT /vms", s.servePut)
	s.Server = fault.NewServer(mux)
	return s
}

// SetVMs replaces the list. The first list shows at once.
func (s *Server) SetVMs(vms []core.VMInfo) error {
	data, err := vmlist.Format(vms)
	if err != nil {
		return err
	}
	s.set(data)
	return nil
}

// set replaces the list and forgets versions that no reader can see any more.
func (s *Server) set(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.versions) == 0 {
		s.versions = []version{{data: data, at: now.Add(-s.lag)}}
		return
	}
	s.versions = append(s.versions[s.shown(now):], version{data: data, at: now})
}

// shown returns the index of the version that readers see.
func (s *Server) shown(now time.Time) int {
	index := 0
	for i, v := range s.versions {
		if now.Sub(v.at) >= s.lag {
			index = i
		}
	}
	return index
}

// serveGet answers with the list that is in sight.
func (s *Server) serveGet(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	data := []byte(`{"vms":[]}`)
	if len(s.versions) > 0 {
		data = s.versions[s.shown(time.Now())].data
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// servePut replaces the list.
func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		_, err = vmlist.Parse(data)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.set(data)
}
