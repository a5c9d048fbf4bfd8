package timeline

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Events that an explanation interprets.
const (
	eventEnd     = "request_end"
	eventAttempt = "attempt_failed"
)

// contextBefore is the time before a request's arrival from which the events of its
// processes are shown. A restart of a process, or the loss of its connection to the
// store, can affect a request that arrives several seconds later, because turns wait
// that long.
const contextBefore = 5 * time.Second

// readTimeoutText is contained in the cause if the entry itself ended the read. The
// entry does so when the request's deadline passes or its caller disconnects.
const readTimeoutText = "i/o timeout"

// meanings describe how a request ended, by its reason.
var meanings = map[string]string{
	"answered":                "a target's answer was passed on whole",
	"no_configuration":        "the entry had no configuration yet, shortly after its start; it did not run",
	"no_route":                "no route matches its host and path",
	"body_too_large":          "its body is over the operators' limit",
	"body_unreadable":         "its body could not be read",
	"bad_id":                  "an id in its headers is not text",
	"targets_full":            "no target took work; it did not run",
	"overloaded":              "the engines had more calls than slots, and new programs were refused; it did not run",
	"out_of_time":             "its time was over, or too short, before a target answered",
	"answer_lost":             "a target may have run it and its answer was lost; it must not run again",
	"budget_spent":            "its program's budget is spent; it did not run",
	"no_such_turn":            "it continues a turn that the ledger does not know",
	"no_key":                  "it has no key of a client account",
	"unknown_key":             "the configuration in force at its entry does not have its key",
	"key_revoked":             "its key was revoked before it could be sent",
	"account_changed":         "its key was given to another account before it could be sent",
	"turn_of_unknown_account": "it continues a turn from before there were client accounts",
	"ledger_unavailable":      "the ledger had no quorum within reach; it did not run",
	"turn_not_kept":           "the ledger did not store the turn, so its stream was cut before its end",
	"stream_broken":           "its engine was lost in the middle of the stream, which may not be resumed",
	"caller_gone":             "its caller left before the end",
}

// Timeline is the log of a request or program.
type Timeline struct {
	ID string
	// Lines are, oldest first, the lines about the request or program, and the lines
	// about the processes that handled it themselves. The latter begin contextBefore
	// before the arrival of the first request and end with the last line about it.
	Lines []Line
}

// New returns the timeline of a request or program. It has no lines if the logs don't
// mention it.
func New(id string, all []Line) *Timeline {
	t := &Timeline{ID: id}
	vms := make(map[string]bool)
	var first, last time.Time
	for i := range all {
		if !all[i].concerns(id) {
			continue
		}
		vms[all[i].VM] = true
		at := arrivalTime(&all[i])
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
		if l.concerns(id) || isContext {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, compareLines)
	return t
}

// arrivalTime returns the time at which the request of a line arrived, or the time of
// the line if the arrival is not known.
func arrivalTime(l *Line) time.Time {
	elapsed, err := time.ParseDuration(l.Fields["took"] + "ms")
	if err != nil {
		// Only the line about a request's end has the duration.
		return l.Time
	}
	return l.Time.Add(-elapsed)
}

// Causes returns an explanation for each request that ended without a target's answer
// or with a server error of the target.
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
	case end.Reason == "out_of_time" && end.Status == 0:
		meaning = "its time was over in the middle of the stream"
	case end.Reason == "stream_broken" && strings.Contains(end.Cause, readTimeoutText):
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

// Write writes the causes and then the lines.
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
