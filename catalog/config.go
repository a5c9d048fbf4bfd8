// Package catalog holds the routes and services of the operators' configuration and the
// registry of the targets that serve them.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a route's requests may be executed more than once and whether
// their answers are streams.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Streaming requests are answered by a stream of events and are executed at most
	// once, unless the route is resumable.
	Streaming
)

// Share is the share of a split route's requests that a service gets.
type Share struct {
	Service string
	Weight  float64
}

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the services of the route. Their weights need not sum to one.
	Shares []Share
	// Timeout bounds the time from a request's arrival to its answer.
	Timeout time.Duration
	// LatencyTarget is the latency objective: the longest time to an answer, or to a
	// stream's first event, that counts as in time.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between two events that counts as in time.
	MaxEventGap time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// MaxTargets bounds how many targets may execute one request.
	MaxTargets int
	// Resumable is set if another target may continue an interrupted stream.
	Resumable bool
	// Sticky is set if a target is faster for an object that it has handled recently.
	// Requests name their object by an affinity key.
	Sticky bool
	// StoresTurns is set if requests contain only the new input of a turn and the
	// system stores the previous turns.
	StoresTurns bool
	// Retention is how long after its end a turn can be continued.
	Retention time.Duration
	// IsPublic is set if requests need no account.
	IsPublic bool
}

// Retryable reports whether a request of the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// ServiceFor returns the service for a request. Point, in [0, 1), selects among the
// services of a split route according to their weights. It returns the empty string if
// the route has no services.
func (r *Route) ServiceFor(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := point * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a pool of targets.
type Service struct {
	Name string
	// Engine describes the service's model engines; nil if the targets are not engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine processes in a batch.
	Slots int
	// CacheTokens is the size of an engine's prompt cache, in tokens.
	CacheTokens int
	// TokensPerEvent is how many tokens one stream event counts for.
	TokensPerEvent int
}

// Limits bound callers' requests and connections.
type Limits struct {
	// HeaderBytes bounds the head of a request, and BodyBytes its body; 0 means no bound.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is how long a caller may take to send a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts.
	Accounts []*Account

	byHost map[string][]*Route
	// accountByKey is nil if requests need no key.
	accountByKey map[keyDigest]*Account
}

// Index builds the index that Match uses. It must be called once, before the
// configuration is used concurrently.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Match returns the host's route with the longest prefix that matches path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
