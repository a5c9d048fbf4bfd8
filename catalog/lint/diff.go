package lint

import (
	"fmt"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

// Change is a difference to the configuration in force, with the callers whom it touches.
type Change struct {
	// Sign is + for an entry that is new, - for one that is removed and ~ for one that changes.
	Sign    string
	Subject Subject
	// Text says what changes, Affects who notices.
	Text    string
	Affects string
}

// differ collects the changes between two configurations.
type differ struct {
	old, new *catalog.Config
	changes  []Change
}

// Compare returns what a new configuration changes. It also returns an error finding if the
// new version would not come into force because it is not above the old one.
func Compare(old, new *catalog.Config) ([]Change, []Finding) {
	d := &differ{old: old, new: new}
	d.compareRoutes()
	d.compareServices()
	d.compareAccounts()
	var findings []Finding
	if new.Version <= old.Version {
		findings = append(findings, Finding{Severity: Error, Subject: Subject{Field: Version},
			Text: fmt.Sprintf("the version %d is not above %d, which is in force", new.Version, old.Version)})
	}
	return d.changes, findings
}

func (d *differ) add(sign string, subject Subject, affects, format string, values ...any) {
	d.changes = append(d.changes, Change{Sign: sign, Subject: subject, Text: fmt.Sprintf(format, values...), Affects: affects})
}

func (d *differ) compareRoutes() {
	old := routesByName(d.old)
	for i, route := range d.new.Routes {
		at := Subject{Kind: RouteEntry, Index: i, Name: route.Name}
		before, known := old[route.Name]
		delete(old, route.Name)
		if !known {
			d.add("+", at, "nobody before", "%s%s", route.Host, route.Prefix)
			continue
		}
		d.compareRoute(at, &before, &route)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		d.add("-", Subject{Kind: RouteEntry, Index: -1, Name: name}, "its callers get 404, unless a shorter prefix matches", "%s%s", old[name].Host, old[name].Prefix)
	}
}

func routesByName(c *catalog.Config) map[string]catalog.Route {
	routes := make(map[string]catalog.Route, len(c.Routes))
	for _, route := range c.Routes {
		routes[route.Name] = route
	}
	return routes
}

func (d *differ) compareRoute(at Subject, old, new *catalog.Route) {
	changed := func(field Field, affects string, before, after any) {
		at.Field = field
		if from, to := fmt.Sprint(before), fmt.Sprint(after); from != to {
			d.add("~", at, affects, "%s -> %s", from, to)
		}
	}
	changed(Host, "callers of the old host get 404", old.Host, new.Host)
	changed(Prefix, "callers of the old prefix get 404, unless a shorter one matches", old.Prefix, new.Prefix)
	changed(Services, "all requests of the route", old.Shares, new.Shares)
	changed(Timeout, "requests that take long", old.Timeout, new.Timeout)
	changed(LatencyTarget, "what counts as late", old.LatencyTarget, new.LatencyTarget)
	changed(MaxEventGap, "what counts as late", old.MaxEventGap, new.MaxEventGap)
	changed(MaxTargets, "requests whose target fails", old.MaxTargets, new.MaxTargets)
	changed(Resumable, "streams that break", old.Resumable, new.Resumable)
	changed(StoresTurns, "programs that continue turns", old.StoresTurns, new.StoresTurns)
	changed(Retention, "programs that continue turns", old.Retention, new.Retention)
	changed(Priority, "which programs begin under load", old.Priority, new.Priority)
	changed(Public, "callers without a key", old.IsPublic, new.IsPublic)
}

func (d *differ) compareServices() {
	for _, name := range slices.Sorted(maps.Keys(d.new.Services)) {
		at := Subject{Kind: ServiceEntry, Name: name}
		before, known := d.old.Services[name]
		if !known {
			d.add("+", at, "nobody before", "service")
			continue
		}
		if from, to := engineText(before.Engine), engineText(d.new.Services[name].Engine); from != to {
			d.add("~", at, "placement and admission at its targets", "%s -> %s", from, to)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.old.Services)) {
		if _, kept := d.new.Services[name]; !kept {
			d.add("-", Subject{Kind: ServiceEntry, Name: name}, "its targets get no requests", "service")
		}
	}
}

func engineText(e *catalog.Engine) string {
	if e == nil {
		return "no engine"
	}
	return fmt.Sprintf("%d slots, %d tokens cached, %d tokens an event", e.Slots, e.CacheTokens, e.TokensPerEvent)
}

func (d *differ) compareAccounts() {
	if d.old.HasAccounts() != d.new.HasAccounts() {
		d.add("~", Subject{Kind: AccountEntry}, "all callers of routes that are not public", "a key is needed: %v -> %v", d.old.HasAccounts(), d.new.HasAccounts())
	}
	old := accountsByName(d.old)
	for _, account := range d.new.Accounts {
		at := Subject{Kind: AccountEntry, Name: account.Name}
		before := old[account.Name]
		delete(old, account.Name)
		if before == nil {
			d.add("+", at, "callers with its keys", "account with %d keys", d.new.KeyCount(account.Name))
			continue
		}
		d.compareAccount(at, before, account)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		d.add("-", Subject{Kind: AccountEntry, Name: name}, "callers with its keys get 401; its stored turns are lost", "account with %d keys", d.old.KeyCount(name))
	}
}

func accountsByName(c *catalog.Config) map[string]*catalog.Account {
	accounts := make(map[string]*catalog.Account, len(c.Accounts))
	for _, account := range c.Accounts {
		accounts[account.Name] = account
	}
	return accounts
}

func (d *differ) compareAccount(at Subject, old, new *catalog.Account) {
	at.Field = Keys
	if lost := d.old.LostKeys(old.Name, d.new); lost > 0 {
		d.add("~", at, "callers with them get 401", "%d keys are taken away", lost)
	}
	if gained := d.new.LostKeys(new.Name, d.old); gained > 0 {
		d.add("~", at, "nobody before", "%d keys are added", gained)
	}
	if old.Quota != new.Quota {
		at.Field = Rate
		d.add("~", at, "requests of the account", "%s -> %s", quotaText(old.Quota), quotaText(new.Quota))
	}
	if from, to := priorityText(old), priorityText(new); from != to {
		at.Field = Priority
		d.add("~", at, "which programs begin under load", "%s -> %s", from, to)
	}
}

func quotaText(q catalog.Quota) string {
	if !q.IsLimited() {
		return "no limit"
	}
	return fmt.Sprintf("%v a second, burst %v", q.PerSecond, q.Burst)
}

func priorityText(a *catalog.Account) string {
	if !a.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(a.Priority)
}
