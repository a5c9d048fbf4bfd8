// Package vmlist is a stand-in for the platform's VM list over HTTP.
//
// GET /vms returns the list, in which a change appears after a fixed delay, and
// PUT /vms replaces it. The format is that of package adapter/vmlist. Package
// standin/fault injects faults.
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

// maxBody limits the body of a request in bytes.
const maxBody = 16 << 20

// Server is a VM list that shows changes after a delay.
type Server struct {
	*fault.Server
	delay time.Duration

	mu       sync.Mutex
	versions []version
}

// version is a list and the time at which it was set.
type version struct {
	data  []byte
	setAt time.Time
}

// NewServer returns an empty list that shows changes after a delay; Start makes
// it listen.
func NewServer(delay time.Duration) *Server {
	s := &Server{delay: delay}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", s.serveGet)
	mux.HandleFunc("PUT /vms", s.servePut)
	s.Server = fault.NewServer(mux)
	return s
}

// SetVMs replaces the list. The first list is visible immediately.
func (s *Server) SetVMs(vms []core.VMInfo) error {
	data, err := vmlist.Format(vms)
	if err != nil {
		return err
	}
	s.setData(data)
	return nil
}

// setData replaces the list and deletes the versions that readers will not get
// again.
func (s *Server) setData(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.versions) == 0 {
		s.versions = []version{{data: data, setAt: now.Add(-s.delay)}}
		return
	}
	s.versions = append(s.versions[s.visibleVersion(now):], version{data: data, setAt: now})
}

// visibleVersion returns the index of the version that readers get.
func (s *Server) visibleVersion(now time.Time) int {
	index := 0
	for i, v := range s.versions {
		if now.Sub(v.setAt) >= s.delay {
			index = i
		}
	}
	return index
}

// serveGet replies with the visible list.
func (s *Server) serveGet(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	data := []byte(`{"vms":[]}`)
	if len(s.versions) > 0 {
		data = s.versions[s.visibleVersion(time.Now())].data
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
	s.setData(data)
}
