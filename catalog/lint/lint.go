// Package lint finds what is wrong in a configuration before it is sent: values that cannot
// be meant, entries that can never match, and limits that contradict each other. It also
// lists what differs from the configuration in force.
package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

// Severity tells whether a configuration with a finding must not be sent.
type Severity uint8

// Severities.
const (
	// Error means that the configuration cannot work as written.
	Error Severity = iota + 1
	// Warning means that it works, but that a part of it has no effect or a doubtful one.
	Warning
)

var severityNames = [...]string{Error: "error", Warning: "warning"}

// String returns the severity as it is printed.
func (s Severity) String() string { return severityNames[s] }

// Kind is the kind of entry that a Subject names.
type Kind uint8

// Kinds of entries. WholeConfig names no single one.
const (
	WholeConfig Kind = iota
	RouteEntry
	ServiceEntry
	AccountEntry
)

// Field is the part of an entry that a finding is about.
type Field uint8

// Fields. WholeEntry names no single one.
const (
	WholeEntry Field = iota
	Version
	Host
	Prefix
	Services
	Timeout
	LatencyTarget
	MaxEventGap
	MaxTargets
	Resumable
	StoresTurns
	Retention
	Public
	Slots
	CacheTokens
	TokensPerEvent
	Keys
	Rate
	Burst
	Priority
	BodyBytes
)

// Subject is the place in a configuration that a finding or a change is about.
type Subject struct {
	Kind Kind
	// Index is the position of a route. Services and accounts are identified by their names.
	Index int
	Name  string
	Field Field
}

// Finding is one thing that is wrong or doubtful.
type Finding struct {
	Severity Severity
	Subject  Subject
	Text     string
}

// checker collects the findings of one configuration.
type checker struct {
	config   *catalog.Config
	findings []Finding
}

// Check returns the findings of a configuration, routes first, in their order.
func Check(config *catalog.Config) []Finding {
	c := &checker{config: config}
	if config.Version <= 0 {
		c.add(Error, Subject{Field: Version}, "the version %d is not positive", config.Version)
	}
	for i := range config.Routes {
		c.checkRoute(i)
	}
	c.checkRouteNames()
	c.checkServices()
	for _, account := range config.Accounts {
		c.checkAccount(account)
	}
	if config.HasAccounts() && len(config.Accounts) == 0 {
		c.add(Warning, Subject{Kind: AccountEntry}, "no account is left: all requests are refused, except those of public routes")
	}
	if config.Limits.BodyBytes < 0 {
		c.add(Error, Subject{Field: BodyBytes}, "the greatest size of a body is negative")
	}
	return c.findings
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

func (c *checker) add(severity Severity, subject Subject, format string, values ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Subject: subject, Text: fmt.Sprintf(format, values...)})
}

func (c *checker) checkRoute(index int) {
	route := &c.config.Routes[index]
	at := func(field Field) Subject {
		return Subject{Kind: RouteEntry, Index: index, Name: route.Name, Field: field}
	}
	c.checkMatch(route, index, at)
	c.checkShares(route, at)
	c.checkTimes(route, at)
	if route.MaxTargets > 1 && !route.Retryable() {
		c.add(Warning, at(MaxTargets), "requests of this route may run once only, so %d targets have no effect", route.MaxTargets)
	}
	if route.Resumable && route.Kind != catalog.Streaming {
		c.add(Warning, at(Resumable), "only streams can be resumed")
	}
	if route.StoresTurns && route.Kind != catalog.Streaming {
		c.add(Error, at(StoresTurns), "only streams have turns that can be stored")
	}
	if route.IsPublic && !c.config.HasAccounts() {
		c.add(Warning, at(Public), "all routes are public, since there are no accounts")
	}
	if route.StoresTurns && route.Resumable {
		c.add(Warning, at(StoresTurns), "callers cannot take up the streams of a route that stores turns, since the events before a break are not stored")
	}
	if route.IsPublic && c.config.HasAccounts() && route.StoresTurns {
		c.add(Warning, at(StoresTurns), "the turns of a public route belong to no account: every caller who knows an id can continue them")
	}
}

// checkMatch finds routes that no request can match.
func (c *checker) checkMatch(route *catalog.Route, index int, at func(Field) Subject) {
	if route.Host == "" {
		c.add(Error, at(Host), "the host is empty, so the route never matches")
	}
	if strings.Contains(route.Host, ":") {
		c.add(Error, at(Host), "the host %q has a port, so the route never matches: ports of requests are ignored", route.Host)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.add(Error, at(Prefix), "the prefix %q does not begin and end with a slash", route.Prefix)
	}
	for _, earlier := range c.config.Routes[:index] {
		if earlier.Host == route.Host && earlier.Prefix == route.Prefix {
			c.add(Error, at(Prefix), "the route never matches: %q before it has the same host and prefix", earlier.Name)
			return
		}
	}
}

func (c *checker) checkShares(route *catalog.Route, at func(Field) Subject) {
	total := 0.0
	for _, share := range route.Shares {
		if _, declared := c.config.Services[share.Service]; !declared {
			c.add(Error, at(Services), "the service %q is not declared", share.Service)
		}
		if share.Weight < 0 {
			c.add(Error, at(Services), "the weight %v of %q is negative", share.Weight, share.Service)
		}
		if share.Weight == 0 {
			c.add(Warning, at(Services), "%q gets no requests, since its weight is 0", share.Service)
		}
		total += max(0, share.Weight)
	}
	if total == 0 {
		c.add(Error, at(Services), "no service gets the requests of this route")
	}
}

// checkTimes finds times that contradict each other: a request that is cut off before it can
// be late, or a turn that is forgotten before its answer has ended.
func (c *checker) checkTimes(route *catalog.Route, at func(Field) Subject) {
	negative := func(field Field, d time.Duration) {
		if d < 0 {
			c.add(Error, at(field), "the time %v is negative", d)
		}
	}
	negative(Timeout, route.Timeout)
	negative(LatencyTarget, route.LatencyTarget)
	negative(MaxEventGap, route.MaxEventGap)
	negative(Retention, route.Retention)
	if route.Timeout > 0 && route.LatencyTarget > route.Timeout {
		c.add(Error, at(Timeout), "the timeout %v is below the objective %v: requests end before they can meet it", route.Timeout, route.LatencyTarget)
	}
	if route.Timeout > 0 && route.MaxEventGap > route.Timeout {
		c.add(Warning, at(MaxEventGap), "the longest pause %v is above the timeout %v", route.MaxEventGap, route.Timeout)
	}
	if route.StoresTurns && route.Retention <= route.Timeout {
		c.add(Error, at(Retention), "turns are kept for %v, but their answers may take %v", route.Retention, route.Timeout)
	}
}

func (c *checker) checkRouteNames() {
	seen := make(map[string]bool)
	for i, route := range c.config.Routes {
		if seen[route.Name] {
			c.add(Error, Subject{Kind: RouteEntry, Index: i, Name: route.Name}, "the name %q is used twice", route.Name)
		}
		seen[route.Name] = true
	}
}

func (c *checker) checkServices() {
	used := make(map[string]bool)
	for _, route := range c.config.Routes {
		for _, share := range route.Shares {
			used[share.Service] = used[share.Service] || share.Weight > 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.config.Services)) {
		at := func(field Field) Subject { return Subject{Kind: ServiceEntry, Name: name, Field: field} }
		if !used[name] {
			c.add(Warning, at(WholeEntry), "no route uses the service")
		}
		engine := c.config.Services[name].Engine
		if engine == nil {
			continue
		}
		if engine.Slots <= 0 {
			c.add(Error, at(Slots), "an engine with %d slots runs nothing", engine.Slots)
		}
		if engine.CacheTokens <= 0 {
			c.add(Warning, at(CacheTokens), "the size %d of the prompt cache is not positive: no prompt counts as cached", engine.CacheTokens)
		}
	}
}

func (c *checker) checkAccount(account *catalog.Account) {
	at := func(field Field) Subject { return Subject{Kind: AccountEntry, Name: account.Name, Field: field} }
	if c.config.KeyCount(account.Name) == 0 {
		c.add(Warning, at(Keys), "the account has no key, so nobody can use it")
	}
	quota := account.Quota
	if !quota.IsLimited() && quota.Burst > 0 {
		c.add(Warning, at(Burst), "the burst has no effect without a rate")
	}
	if quota.IsLimited() && quota.PerSecond+quota.Burst < 1 {
		c.add(Error, at(Rate), "%v requests per second and a burst of %v never allow a whole request", quota.PerSecond, quota.Burst)
	}
	if account.HasPriority && account.Priority < 0 {
		c.add(Error, at(Priority), "the priority %d is negative", account.Priority)
	}
}
