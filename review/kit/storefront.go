package kit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// usualAnswer is how long the platform's store takes to answer.
const usualAnswer = 4 * time.Millisecond

// StoreFront passes calls on to the store and answers after the time that the store takes.
type StoreFront struct {
	d      *Deployment
	addr   string
	server *http.Server

	mu    sync.Mutex
	delay time.Duration
	// muted is closed when watches are answered again; nil while they are.
	muted chan struct{}
}

// AddStoreFront puts a store front before the store, for the machines that are started from then
// on.
func (d *Deployment) AddStoreFront() (*StoreFront, error) {
	listener, err := net.Listen("tcp", d.newIP()+":0")
	if err != nil {
		return nil, err
	}
	f := &StoreFront{d: d, addr: listener.Addr().String(), delay: usualAnswer}
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(listener) }()
	d.front = f
	return f, nil
}

// SetSlow makes all answers take a multiple of the usual time.
func (f *StoreFront) SetSlow(factor int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = time.Duration(factor) * usualAnswer
	f.d.Record("the store's answers take %v", f.delay)
}

// Compact drops the store's history: watches hear nothing for a time, while changes are made, and are
// then cut with 410.
func (f *StoreFront) Compact(silence time.Duration, change func()) {
	muted := make(chan struct{})
	f.mu.Lock()
	f.muted = muted
	f.mu.Unlock()
	f.d.Record("watches hear nothing")
	change()
	time.Sleep(silence)
	f.mu.Lock()
	f.muted = nil
	f.mu.Unlock()
	f.d.Store.CompactHistory()
	f.d.Record("the history is dropped, and watches are cut")
	close(muted)
}

// ServeHTTP passes one call on.
func (f *StoreFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.d.Store.Addr()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	call.Header = r.Header.Clone()
	answer, err := http.DefaultTransport.RoundTrip(call)
	if err != nil {
		// The caller gets no answer.
		panic(http.ErrAbortHandler)
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f.mu.Lock()
	muted := f.muted
	f.mu.Unlock()
	if muted != nil && r.URL.Path == "/kv-watch" {
		<-muted
		w.WriteHeader(http.StatusGone)
		return
	}
	f.mu.Lock()
	delay := f.delay
	if r.URL.Path == "/kv-range" {
		f.d.Record("store: %s asks %s, %d bytes", r.RemoteAddr, r.URL.RequestURI(), len(content))
	}
	f.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.WriteHeader(answer.StatusCode)
	_, _ = w.Write(content)
}
