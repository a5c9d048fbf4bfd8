package rig3

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Names of the headers that engines and clients use.
const (
	RequestID   = "X-Rhubarbsaddle-Request-Id"
	Signature   = "X-Rhubarbsaddle-Response-Signature"
	NotExecuted = "X-Rhubarbsaddle-Not-Executed"
	Expect      = "X-Rhubarbsaddle-Expect-Instance"
	Deadline    = "X-Rhubarbsaddle-Deadline-Ms"
)

// beat is the time between two registrations of an engine.
const beat = 1200 * time.Millisecond

// windowBytes is the size of the receive buffer of an engine's connection.
const windowBytes = 32 << 10

// Engine is a stand-in of an engine that is registered in the store. It serves each connection
// with its handler.
type Engine struct {
	ID, Service, Zone string
	rig               *Rig
	listener          net.Listener
	stop              chan struct{}

	mu     sync.Mutex
	beats  int
	conns  map[net.Conn]bool
	closed bool
}

// AddEngine starts an engine that passes each connection to serve.
func (r *Rig) AddEngine(id, service, zone string, slots int, serve func(e *Engine, nc net.Conn)) (*Engine, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// The links of the platform have small windows.
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		return errors.Join(err, failure)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Service: service, Zone: zone, rig: r, listener: listener, stop: make(chan struct{}), conns: make(map[net.Conn]bool)}
	r.engines = append(r.engines, e)
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[nc] = true
			e.mu.Unlock()
			go func() {
				serve(e, nc)
				_ = nc.Close()
				e.mu.Lock()
				delete(e.conns, nc)
				e.mu.Unlock()
			}()
		}
	}()
	go e.register(slots)
	return e, nil
}

// AddHTTPEngine starts an engine with an HTTP handler, for requests that name this engine.
func (r *Rig) AddHTTPEngine(id, service, zone string, slots int, handler func(e *Engine, w http.ResponseWriter, req *http.Request)) (*Engine, error) {
	conns := make(chan net.Conn)
	done := make(map[net.Conn]chan struct{})
	var mu sync.Mutex
	e, err := r.AddEngine(id, service, zone, slots, func(e *Engine, nc net.Conn) {
		end := make(chan struct{})
		mu.Lock()
		done[nc] = end
		mu.Unlock()
		select {
		case conns <- nc:
			<-end
		case <-e.stop:
		}
	})
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set(RequestID, req.Header.Get(RequestID))
			if expected := req.Header.Get(Expect); expected != "" && expected != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			handler(e, w, req)
		}),
		ConnState: func(nc net.Conn, state http.ConnState) {
			if state == http.StateClosed || state == http.StateHijacked {
				mu.Lock()
				if end := done[nc]; end != nil {
					close(end)
					delete(done, nc)
				}
				mu.Unlock()
			}
		},
	}
	go func() { _ = server.Serve(&chanListener{conns: conns, stop: e.stop, addr: e.listener.Addr()}) }()
	return e, nil
}

type chanListener struct {
	conns chan net.Conn
	stop  chan struct{}
	addr  net.Addr
}

func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.conns:
		return nc, nil
	case <-l.stop:
		return nil, net.ErrClosed
	}
}
func (l *chanListener) Close() error   { return nil }
func (l *chanListener) Addr() net.Addr { return l.addr }

// register writes the engine's entry, as engines do about every heartbeat.
func (e *Engine) register(slots int) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	born := time.Now().UnixMilli()
	for {
		e.mu.Lock()
		e.beats++
		value, err := json.Marshal(map[string]any{
			"service": e.Service, "address": e.listener.Addr().String(), "zone": e.Zone, "version": "v1", "slots": slots,
			"state": "ready", "cold_left_ms": 0, "call_count": e.beats, "born": born,
		})
		if err == nil && !e.closed {
			e.rig.Store.Put("servers/"+e.ID, value)
		}
		e.mu.Unlock()
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}

// Close ends the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	close(e.stop)
	_ = e.listener.Close()
	for nc := range e.conns {
		_ = nc.Close()
	}
}
