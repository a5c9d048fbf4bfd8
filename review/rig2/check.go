package rig2

import (
	"fmt"
	"strings"
	"time"
)

// Finding is a broken rule.
type Finding struct{ Rule, Text string }

// Check holds what clients, engines and the platform have seen against the rules. Events is the
// number of events of a whole stream.
func (c *Clients) Check(events int) []Finding {
	var found []Finding
	add := func(rule, text string, args ...any) {
		f := Finding{rule, fmt.Sprintf(text, args...)}
		found = append(found, f)
		c.Rig.Record.Add("BROKEN", "rule", rule, "what", f.Text)
	}
	runs := make(map[string][]*Run)
	for _, r := range c.Rig.Runs() {
		runs[r.ID] = append(runs[r.ID], r)
	}
	known := make(map[string]*Attempt)
	for _, a := range c.Attempts() {
		known[a.ID] = a
		mine := runs[a.ID]
		if (a.Kind == "card" || a.Kind == "haggle") && len(mine) > 1 {
			add("TWICE", "%s %s ran %d times", a.Kind, a.ID, len(mine))
		}
		if (a.Kind == "card" || a.Kind == "haggle") && a.Promised() && len(mine) > 0 {
			add("REFUSED", "%s %s was answered %d and has run at %s", a.Kind, a.ID, a.Status, mine[0].Engine)
		}
		if a.Status == 402 && len(mine) > 0 {
			add("REFUSED", "%s was answered 402 and has run", a.ID)
		}
		if a.Err == "bytes behind the answer" {
			add("MIXED", "%s %s: %s", a.Kind, a.ID, a.Err)
		}
		if a.AnswerID != "" && a.AnswerID != a.ID {
			add("MIXED", "%s %s got the answer of %s", a.Kind, a.ID, a.AnswerID)
		}
		if a.Status/100 == 2 && a.Signature == "" {
			add("MIXED", "%s %s got %d without a signature", a.Kind, a.ID, a.Status)
		}
		if a.Status/100 == 2 && a.Whole {
			c.checkSuccess(a, mine, events, add)
		}
		if a.Kind == "haggle" && (a.Status == 404 || a.Status == 410) && a.Previous != "" {
			c.mu.Lock()
			t := c.Turns[a.Previous]
			c.mu.Unlock()
			if t != nil && a.Sent.Sub(t.At) < 60*time.Second {
				add("LOST", "turn %s was answered %d, its previous turn %s was answered whole %.1f s before", a.ID, a.Status, a.Previous, a.Sent.Sub(t.At).Seconds())
			}
		}
	}
	for id, mine := range runs {
		a := known[id]
		if a == nil {
			add("UNASKED", "%s ran at %s, and no client sent it", id, mine[0].Engine)
			continue
		}
		for _, r := range mine {
			want := a.Body
			if a.Kind == "haggle" {
				prompt, ok := c.Prompt(a.Previous, a.Body)
				if !ok {
					continue
				}
				want = prompt
			}
			if r.Path != a.Path || r.Body != want {
				add("UNASKED", "%s %s ran with another path or body (%d bytes, %d expected)", a.Kind, id, len(r.Body), len(want))
			}
		}
	}
	c.checkVersions(add)
	for _, ended := range c.Rig.Ended() {
		add("CRASH", "%s", ended)
	}
	return found
}

func (c *Clients) checkSuccess(a *Attempt, mine []*Run, events int, add func(rule, text string, args ...any)) {
	if a.Kind == "map" || a.Kind == "card" {
		for _, r := range mine {
			if a.Signature == Signature(r.Engine, a.ID) && a.Answer == PlainBody(r.Engine, a.ID) {
				return
			}
		}
		add("MIXED", "%s %s: the answer is no engine's: %q", a.Kind, a.ID, a.Answer[:min(60, len(a.Answer))])
		return
	}
	for i, ev := range a.Events {
		if ev.ID != a.From+i+1 {
			add("ORDER", "%s %s: event %d follows %d", a.Kind, a.ID, ev.ID, a.From+i)
			return
		}
		if !strings.Contains(ev.Data, " to "+a.ID+" ") {
			add("MIXED", "%s %s has an event of another request: %s", a.Kind, a.ID, ev.Data)
			return
		}
	}
	if a.From+len(a.Events) != events {
		add("ORDER", "%s %s ended whole after event %d of %d", a.Kind, a.ID, a.From+len(a.Events), events)
	}
}

// checkVersions reports streams that hold events of engines of two versions, over all of a client's
// tries.
func (c *Clients) checkVersions(add func(rule, text string, args ...any)) {
	versions := make(map[string]string)
	c.Rig.mu.Lock()
	versionOf := c.Rig.versions
	for _, a := range c.attempts {
		root := a.ID
		if a.Resumes != "" {
			root = a.Resumes
		}
		for _, ev := range a.Events {
			engine, _, _ := strings.Cut(ev.Data, " ")
			v := versionOf[engine]
			if known := versions[root]; known != "" && known != v {
				add("ORDER", "%s %s has an event of version %s after one of version %s", a.Kind, a.ID, v, known)
				break
			}
			versions[root] = v
		}
	}
	c.Rig.mu.Unlock()
}
