// Package catalog holds what operators and targets declare: the routes and
// services of the configuration in force, and the targets that serve them.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests have at-most-once execution.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events and have at-most-once
	// execution, unless the route is resumable.
	Streaming
)

// Share is the part of a split route's requests that a service gets.
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
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to an answer, or to a stream's first event, that
	// counts as in time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events that counts as in time.
	GapTarget time.Duration
	// Priority is the rank of the route, 0 the most urgent.
	Priority int
	// MaxTargets bounds the targets that one request may be run by.
	MaxTargets int
	// Resumable streams may be continued by another target.
	Resumable bool
	// StoresTurns says that turns carry only their new input, and that the system
	// keeps the turns before.
	StoresTurns bool
	// Retention is how long a turn can be continued after its end.
	Retention time.Duration
}

// Retryable says whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// ServiceFor returns the service of a request; point, in [0, 1), picks among the
// services of a split route.
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
	// Engine describes model engines; nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine batches.
	Slots int
	// CacheTokens is an engine's memory, in tokens.
	CacheTokens int
	// EventTokens is how many tokens one stream event stands for.
	EventTokens int
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes     int64
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

	byHost map[string][]*Route
}

// Index prepares the configuration for Match. It is called once, before the
// configuration is shared.
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

// Match returns the route with the longest prefix of path among those of host,
// or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
