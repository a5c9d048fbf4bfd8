package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peer"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// statusTimeout bounds the wait for access to the reducer's state.
	statusTimeout = 2 * time.Second
	// A peer's connection without traffic is pinged after pingIdleTime, and closed if
	// the ping is not acknowledged within pingTimeout.
	pingIdleTime = 5 * time.Second
	pingTimeout  = 2 * time.Second
	// maxStreams bounds the number of answers read concurrently over one connection.
	maxStreams = 10000
)

// servePeers serves the peer protocol on the listener that New has bound.
func (n *Node) servePeers(listener net.Listener) {
	handler := &peer.Handler{
		Self:                n.Self,
		Receive:             func(from core.Node, msg core.Message) { n.Post(core.Recv{From: from, Msg: msg}) },
		OnAdvertisedAddress: n.peers.SetAdvertisedAddress,
		Answers:             n.options.Answers,
		History:             n.options.History,
		Config:              n.configText,
	}
	mux := http.NewServeMux()
	mux.Handle(handler.HTTP())
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		Protocols:         new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingIdleTime,
			PingTimeout:          pingTimeout,
		},
	}
	server.Protocols.SetUnencryptedHTTP2(true)
	if n.tls != nil {
		server.Protocols.SetHTTP2(true)
		server.TLSConfig = n.tls.Server(true)
	}
	n.Serve(server, listener, "peers")
}

// Serve serves on a listener until the node closes. A failure is fatal.
func (n *Node) Serve(server *http.Server, listener net.Listener, name string) {
	n.servers = append(n.servers, server)
	n.goRun(func() {
		var err error
		if server.TLSConfig != nil {
			err = server.ServeTLS(listener, "", "")
		} else {
			err = server.Serve(listener)
		}
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.reportFatal(&StepError{Step: "serve", Peer: name, Err: err})
		}
	})
}

// serveOperators serves the operators' port, if the settings have one.
func (n *Node) serveOperators() error {
	addr := n.options.Settings.Listen.Operators
	if addr == "" {
		return nil
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return &StepError{Step: "listen", Peer: addr, Err: err}
	}
	n.operatorAddr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", n.serveStatus)
	mux.HandleFunc("GET /healthz", n.ServeHealth)
	mux.HandleFunc("POST /drain", n.serveDrain)
	mux.Handle("GET /events", n.Events)
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.Metrics.registry, promhttp.HandlerOpts{}))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      headerTimeout,
	}
	if n.tls != nil {
		// An operator can drain the process, so a client certificate is required as for
		// peers.
		server.TLSConfig = n.tls.Server(true)
	}
	n.Serve(server, listener, "operators")
	return nil
}

// Status is the state of a node as GET /status returns it. Its field State is the
// reducer's state.
type Status struct {
	VM          string            `json:"vm"`
	Incarnation uint64            `json:"incarnation"`
	Role        string            `json:"role"`
	Domain      string            `json:"domain"`
	Generation  uint64            `json:"generation"`
	Uptime      string            `json:"uptime"`
	Invariants  []InvariantStatus `json:"promises"`
	Violations  []string          `json:"violations,omitempty"`
	Messages    MessageStatus     `json:"messages"`
	State       json.RawMessage   `json:"state"`
}

// InvariantStatus counts the checks and the violations of one invariant.
type InvariantStatus struct {
	Invariant  string `json:"promise"`
	Checks     uint64 `json:"checks"`
	Violations uint64 `json:"violations"`
}

// MessageStatus counts the messages to peers.
type MessageStatus struct {
	Sent    uint64 `json:"sent"`
	Dropped uint64 `json:"dropped"`
}

// Status returns the current state.
func (n *Node) Status(ctx context.Context) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var state []byte
	var marshalErr error
	err := n.loop.Inspect(ctx, func() { state, marshalErr = json.Marshal(n.options.Status()) })
	if err != nil || marshalErr != nil {
		return nil, &StepError{Step: "read state of", Peer: n.Self.String(), Err: errors.Join(err, marshalErr)}
	}
	now := n.Clock.Now()
	s := &Status{
		VM:          string(n.Self.VM),
		Incarnation: uint64(n.Self.Inc),
		Role:        n.options.Settings.Role,
		Domain:      n.options.Settings.Domain,
		Generation:  n.Generation(),
		Uptime:      time.Duration(now.Sub(core.Instant(n.Self.Inc))).Round(time.Second).String(),
		Violations:  n.Invariants.Messages(),
		Messages: MessageStatus{
			Sent:    n.peers.Stats().Sent.Load(),
			Dropped: n.peers.Stats().Dropped.Load(),
		},
		State: state,
	}
	for p := range invariant.Count {
		s.Invariants = append(s.Invariants, InvariantStatus{
			Invariant:  p.String(),
			Checks:     n.Invariants.Checks(p),
			Violations: n.Invariants.Violations(p),
		})
	}
	return s, nil
}

func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := n.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the operator has disconnected.
	_ = json.NewEncoder(w).Encode(status)
}

// ServeHealth responds with status 200 if a configuration is active and the reducer
// handles events and reports no reason to be unhealthy; otherwise with 503.
func (n *Node) ServeHealth(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	var reason string
	check := func() {
		if n.options.UnhealthyReason != nil {
			reason = n.options.UnhealthyReason()
		}
	}
	if err := n.loop.Inspect(ctx, check); err != nil {
		http.Error(w, "the reducer takes no events", http.StatusServiceUnavailable)
		return
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	if n.Config() == nil {
		http.Error(w, "no configuration is in force", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) serveDrain(w http.ResponseWriter, _ *http.Request) {
	n.Drain()
	w.WriteHeader(http.StatusAccepted)
}
