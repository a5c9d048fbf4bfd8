package relay

import (
	"sync"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

const (
	// refusalLogPeriod is the time between two log lines on refused programs of the same
	// account.
	refusalLogPeriod = 5 * time.Second
	// maxRefusalLogs bounds the accounts that are distinguished. Beyond it, all are forgotten.
	maxRefusalLogs = 1024
)

// refusalKey is a class of decisions that share log lines.
type refusalKey struct {
	service, account string
	admission        fleet.Admission
}

// refusalLog counts refused programs between two log lines. Its zero value is empty.
type refusalLog struct {
	mu      sync.Mutex
	classes map[refusalKey]*refusalClass
}

type refusalClass struct {
	loggedAt time.Time
	// unlogged counts the refusals since loggedAt.
	unlogged int
}

// count counts a refusal. If a line is due, it returns the number of refusals that it stands
// for; otherwise 0.
func (l *refusalLog) count(key refusalKey, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.classes[key]
	if c == nil {
		if l.classes == nil || len(l.classes) >= maxRefusalLogs {
			l.classes = make(map[refusalKey]*refusalClass)
		}
		c = &refusalClass{}
		l.classes[key] = c
	}
	c.unlogged++
	if now.Sub(c.loggedAt) < refusalLogPeriod {
		return 0
	}
	n := c.unlogged
	c.loggedAt, c.unlogged = now, 0
	return n
}

// logRefusedProgram logs why programs of an account are refused, at most once in
// refusalLogPeriod. Requests without an account have lines of their own only.
func (r *Relay) logRefusedProgram(e *exchange, d fleet.Decision, now time.Time) {
	if e.account == nil {
		return
	}
	n := r.refusalLog.count(refusalKey{e.service, e.account.Name, d.Admission}, now)
	if n == 0 {
		return
	}
	r.log.Info().Str("event", "programs_refused").Str("account", e.account.Name).Str("service", e.service).
		Str("decision", d.Admission.String()).Int("programs", n).Float64("in_use", d.Usage.InUse).Float64("share", d.Usage.Share).
		Float64("normal", d.Usage.Normal).Float64("total", d.Usage.Total).Float64("blame", d.Usage.Blame).Msg("")
}
