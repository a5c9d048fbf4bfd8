package timeline

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Events that the explanation knows.
const (
	eventEnd     = "request_end"
	eventAttempt = "attempt_failed"
)

// contextBefore is how long before a request's first line the events of its
// processes are shown. A process that starts again or loses the store shows its
// effects within the time that turns wait, some seconds.
const contextBefore = 5 * time.Second

// ownDeadline is in the cause of a read that the entry itself ended, when the time
// of the request was over or its caller had left.
const ownDeadline = "i/o timeout"

// meanings say in words how a request ended, by its reason.
var meanings = map[string]string{
	"answered":           "a target's answer was passed on whole",
	"no_configuration":   "the entry had no configuration yet, shortly after its start; it did not run",
	"no_route":           "no route matches its host and path",
	"body_too_large":     "its body is over the operators' limit",
	"body_unreadable":    "its body could not be read",
	"bad_id":             "an id in its headers is not text",
	"targets_full":       "no target took work; it did not run",
	"overloaded":         "the engines had more calls than slots, and new programs were refused; it did not run",
	"out_of_time":        "its time was over before a target answered",
	"answer_lost":        "a target may have run it and its answer was lost; it must not run again",
	"budget_spent":       "its program's budget is spent; it did not run",
	"no_such_turn":       "it continues a turn that the ledger does not know",
	"ledger_unavailable": "the ledger had no quorum within reach; it did not run",
	"turn_not_kept":      "the ledger did not store the turn, so its stream was cut before its end",
	"stream_broken":      "its engine was lost in the middle of the stream, which may not be resumed",
	"caller_gone":        "its caller left before the end",
}

// Timeline is what the logs tell of a request or program.
type Timeline struct {
	ID string
	// Lines are those about it, and those about the processes that it touched,
	// oldest first.
	Lines []Line
}

// New returns the timeline of a request or program, with no lines if the logs do
// not tell of it.
func New(id string, all []Line) *Timeline {
	t := &Timeline{ID: id}
	vms := make(map[string]bool)
	var first, last time.Time
	for i := range all {
		if !all[i].about(id) {
			continue
		}
		vms[all[i].VM] = true
		at := began(&all[i])
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if all[i].Time.After(last) {
			last = all[i].Time
		}
	}
	for _, l := range all {
		isContext := l.Request == "" && l.Program == "" && vms[l.VM] &&
			!l.Time.Before(first.Add(-contextBefore)) && !l.Time.After(last)
		if l.about(id) || isContext {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, byTime)
	return t
}

// began returns when the request of a line arrived.
func began(l *Line) time.Time {
	took, err := time.ParseDuration(l.Fields["took"] + "ms")
	if err != nil {
		// Only the line of a request's end has a duration.
		return l.Time
	}
	return l.Time.Add(-took)
}

// Causes says, for each request that did not end with a target's answer, why.
func (t *Timeline) Causes() []string {
	var causes []string
	for i := range t.Lines {
		l := &t.Lines[i]
		if l.Event == eventEnd && (l.Reason != "answered" || l.Status >= 500) {
			causes = append(causes, t.cause(l))
		}
	}
	return causes
}

func (t *Timeline) cause(end *Line) string {
	meaning, ok := meanings[end.Reason]
	if !ok {
		meaning = "for a reason that this version does not know, " + end.Reason
	}
	switch {
	case end.Reason == "answered":
		meaning = "the target answered so itself"
	case end.Reason == "stream_broken" && strings.Contains(end.Cause, ownDeadline):
		meaning = "its time was over in the middle of the stream"
	}
	text := fmt.Sprintf("request %s at %s ended with %d: %s", end.Request, end.VM, end.Status, meaning)
	if end.Cause != "" {
		text += "; " + end.Cause
	}
	var targets []string
	for i := range t.Lines {
		if l := &t.Lines[i]; l.Event == eventAttempt && l.Request == end.Request {
			targets = append(targets, l.Fields["target"])
		}
	}
	if len(targets) > 0 {
		text += "; failed attempts at " + strings.Join(targets, ", ")
	}
	return text
}

// Write writes the causes and the lines.
func (t *Timeline) Write(out io.Writer) error {
	for _, cause := range t.Causes() {
		if _, err := fmt.Fprintln(out, cause); err != nil {
			return err
		}
	}
	for i := range t.Lines {
		if _, err := fmt.Fprintln(out, t.Lines[i].String()); err != nil {
			return err
		}
	}
	return nil
}
