package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Problem is an error in a set or in a process's settings.
type Problem struct {
	// Path names the field, such as "pools[0].policy.order".
	Path string
	Text string
	// Fix says how to correct the field.
	Fix string
}

// Names of the policies that a pool can select.
var (
	Orders        = []string{"fifo", "las", "slack"}
	Placements    = []string{"round_robin", "least_outstanding", "prefix_hash", "two_choices", "cost"}
	Admissions    = []string{"open", "cache"}
	Retentions    = []string{"none", "always", "learned"}
	Concurrencies = []string{"fixed", "adaptive"}
)

// affinityPlacements are the placements that send a program's calls to the target
// that caches its prefix. With any other placement, admission by cache would have to
// admit the same program at every target, and most programs would fail
// (docs/design/0003-policy.md).
var affinityPlacements = []string{"prefix_hash", "cost"}

// measures maps each measure of an objective to whether it needs a time bound, the
// objective's Below.
var measures = map[string]bool{
	"program_latency": true,
	"first_token":     true,
	"between_tokens":  true,
	"wasted_cache":    false,
	"refused":         false,
}

// maxSlots bounds the number of slots, so that one range read returns all slot
// assignments.
const maxSlots = 65536

// checker collects problems.
type checker struct{ problems []Problem }

func (c *checker) add(path, fix, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...), Fix: fix})
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.add(path, "give it a value", "is missing")
	}
}

func (c *checker) oneOf(path, value string, allowed []string) {
	if value == "" || slices.Contains(allowed, value) {
		return
	}
	c.add(path, "write one of "+strings.Join(allowed, ", "), "%q is not known", value)
}

func (c *checker) unique(path, name string, seen map[string]bool) {
	if name == "" {
		c.add(path, "give it a name", "is missing")
		return
	}
	if seen[name] {
		c.add(path, "rename one of them", "%q is used twice", name)
	}
	seen[name] = true
}

func (c *checker) addrPort(path, value string, needed bool) {
	if value == "" {
		if needed {
			c.add(path, "write an IP address and port, such as 10.0.0.5:7000", "is missing")
		}
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "write an IP address and port, such as 10.0.0.5:7000", "%q is not an IP address and port", value)
	}
}

// Check returns all problems of the set, in the order of its fields. ApplyDefaults
// must be called first.
func (s *Set) Check() []Problem {
	c := &checker{}
	c.required("deployment", s.Deployment)
	s.checkDomains(c)
	s.checkOwnership(c)
	pools := s.checkPools(c)
	kinds := s.checkPrograms(c, pools)
	s.checkAccounts(c, kinds)
	s.checkTools(c)
	return c.problems
}

func (s *Set) checkDomains(c *checker) {
	if len(s.Domains) == 0 {
		c.add("domains", "list the failure domains", "is missing")
	}
	seen := map[string]bool{}
	for i, d := range s.Domains {
		c.unique(fmt.Sprintf("domains[%d].name", i), d.Name, seen)
	}
}

func (s *Set) checkOwnership(c *checker) {
	o := s.Ownership
	if o.Slots > maxSlots {
		c.add("ownership.slots", fmt.Sprintf("write at most %d", maxSlots), "%d is too many", o.Slots)
	}
	if o.Replicas < 0 {
		c.add("ownership.mirrors", "write 1 or more", "%d is negative", o.Replicas)
	}
	if o.SuspectAfter < 2*o.Heartbeat {
		c.add("ownership.suspect_after", "write at least twice ownership.heartbeat", "is too short: one lost heartbeat would count as a failure")
	}
}

func (s *Set) checkPools(c *checker) map[string]bool {
	seen := map[string]bool{}
	for i, p := range s.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		c.unique(at+".name", p.Name, seen)
		c.required(at+".kind", string(p.Kind))
		c.oneOf(at+".kind", string(p.Kind), []string{string(PoolModel), string(PoolTool), string(PoolService)})
		if p.Kind == PoolModel {
			c.required(at+".model", p.Model)
		}
		c.oneOf(at+".policy.order", p.Policy.Order, Orders)
		c.oneOf(at+".policy.placement", p.Policy.Placement, Placements)
		c.oneOf(at+".policy.admission", p.Policy.Admission, Admissions)
		c.oneOf(at+".policy.retention", p.Policy.Retention, Retentions)
		c.oneOf(at+".policy.concurrency", p.Policy.Concurrency, Concurrencies)
		if p.Policy.Admission == "cache" && !slices.Contains(affinityPlacements, p.Policy.Placement) {
			c.add(at+".policy.admission", "write open, or choose a placement that sends programs to their cache: "+strings.Join(affinityPlacements, ", "),
				"cache admission fails with placement %s, which moves programs", p.Policy.Placement)
		}
		if p.Retry.Ratio < 0 || p.Retry.Ratio > 1 {
			c.add(at+".retry.ratio", "write a number from 0 to 1", "%g is out of range", p.Retry.Ratio)
		}
	}
	return seen
}

func (s *Set) checkPrograms(c *checker, pools map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for i, k := range s.Programs {
		at := fmt.Sprintf("programs[%d]", i)
		c.unique(at+".name", k.Name, seen)
		for j, name := range k.Pools {
			if !pools[name] {
				c.add(fmt.Sprintf("%s.pools[%d]", at, j), "declare the pool under pools", "pool %q is not declared", name)
			}
		}
		if k.BudgetTokens == 0 {
			c.add(at+".budget_tokens", "write the most tokens that a program may spend", "is missing")
		}
		for j, o := range k.Objectives {
			checkObjective(c, fmt.Sprintf("%s.objectives[%d]", at, j), o)
		}
	}
	return seen
}

func checkObjective(c *checker, at string, o Objective) {
	hasBound, known := measures[o.Measure]
	if !known {
		c.add(at+".measure", "write one of program_latency, first_token, between_tokens, wasted_cache, refused", "%q is not known", o.Measure)
	}
	if hasBound && o.Below == 0 {
		c.add(at+".below", "write the bound of a good event, such as 860ms", "is missing")
	}
	if o.Share <= 0 || o.Share >= 1 {
		c.add(at+".share", "write a number between 0 and 1, such as 0.95", "%g is out of range", o.Share)
	}
}

func (s *Set) checkAccounts(c *checker, kinds map[string]bool) {
	seen := map[string]bool{}
	keys := map[string]bool{}
	for i, a := range s.Accounts {
		at := fmt.Sprintf("accounts[%d]", i)
		c.unique(at+".name", a.Name, seen)
		raw, err := hex.DecodeString(a.KeySHA256)
		if err != nil || len(raw) != 32 {
			c.add(at+".key_sha256", "write the key's SHA-256 digest: printf %s KEY | sha256sum", "is not a SHA-256 digest in hexadecimal")
		} else if keys[a.KeySHA256] {
			c.add(at+".key_sha256", "give each account a key of its own", "another account has the same key")
		}
		keys[a.KeySHA256] = true
		for j, name := range a.Programs {
			if !kinds[name] {
				c.add(fmt.Sprintf("%s.programs[%d]", at, j), "declare the program kind under programs", "program kind %q is not declared", name)
			}
		}
		if a.Weight <= 0 {
			c.add(at+".weight", "write a number above 0", "%g is out of range", a.Weight)
		}
	}
}

func (s *Set) checkTools(c *checker) {
	seen := map[string]bool{}
	prefixes := map[string]bool{}
	for i, t := range s.Tools {
		at := fmt.Sprintf("tools[%d]", i)
		c.unique(at+".name", t.Name, seen)
		if !strings.HasPrefix(t.Prefix, "/") || strings.HasPrefix(t.Prefix, "/v1/") {
			c.add(at+".prefix", "write a path such as /permits/; /v1/ is reserved", "%q cannot be a prefix", t.Prefix)
		} else if prefixes[t.Prefix] {
			c.add(at+".prefix", "give each tool a prefix of its own", "%q is used twice", t.Prefix)
		}
		prefixes[t.Prefix] = true
		p := s.Pool(t.Pool)
		if p == nil {
			c.add(at+".pool", "declare the pool under pools", "pool %q is not declared", t.Pool)
		} else if p.Kind == PoolModel {
			c.add(at+".pool", "name a pool of kind tool or service", "pool %q is a model pool", t.Pool)
		}
	}
}

// Check returns all problems of a process's settings. ApplyDefaults must be called
// first.
func (n *Node) Check() []Problem {
	c := &checker{}
	c.required("vm", n.VM)
	c.required("domain", n.Domain)
	c.required("role", n.Role)
	c.oneOf("role", n.Role, []string{"entry", "sidecar"})
	c.addrPort("listen.callers", n.Listen.Callers, n.Role == "entry")
	c.addrPort("listen.peers", n.Listen.Peers, true)
	c.addrPort("listen.operators", n.Listen.Operators, true)
	n.checkPlatform(c)
	n.checkTLS(c)
	c.oneOf("log.level", n.Log.Level, []string{"debug", "info", "warn", "error"})
	if n.Role == "sidecar" {
		c.required("target.pool", n.Target.Pool)
		c.oneOf("target.kind", string(n.Target.Kind), []string{string(PoolModel), string(PoolTool), string(PoolService)})
		c.addrPort("target.address", n.Target.Address, true)
	}
	return c.problems
}

func (n *Node) checkPlatform(c *checker) {
	if len(n.Store.Endpoints) == 0 {
		c.add("store.endpoints", "list the key-value service's addresses", "is missing")
	}
	for i, e := range n.Store.Endpoints {
		c.addrPort(fmt.Sprintf("store.endpoints[%d]", i), e, true)
	}
	if (n.VMList.File == "") == (n.VMList.URL == "") {
		c.add("vm_list", "write either file or url", "needs exactly one source")
	}
}

func (n *Node) checkTLS(c *checker) {
	if (n.TLS.Cert == "") != (n.TLS.Key == "") {
		c.add("tls", "write both cert and key, or neither", "has only one of cert and key")
	}
	if n.TLS.CA != "" && n.TLS.Cert == "" {
		c.add("tls.ca", "write cert and key too", "is set without a certificate")
	}
}
