package timeline

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// eventStart is the first line of a process.
	eventStart = "start"
	// reasonAnswered is the reason of requests that a target answered.
	reasonAnswered = "answered"
	// restartGap is the time between two starts of processes above which they belong to
	// different restarts.
	restartGap = time.Second
	// restartPeriod is the time after the first start whose lines are counted.
	restartPeriod = 20 * time.Second
)

// startSteps are the events that a process logs on its way to service, in the order in
// which they are printed.
var startSteps = []string{"disk_read", "state_read", "config_applied", "view_applied", "copied", "recovered"}

// ProcessRestart is the restart of one process. All times are since the first start of the
// restart that it is part of.
type ProcessRestart struct {
	VM, Role string
	Started  time.Duration
	// Steps holds the time of the first event of each kind, by event.
	Steps map[string]time.Duration
	// FirstTurn is the time at which the first event of a turn was sent to a caller. It is
	// zero for processes that have served none.
	FirstTurn time.Duration
	// Refused counts the requests that the process answered itself before FirstTurn.
	Refused int
}

// Restart is a group of processes that started at about the same time.
type Restart struct {
	Begin     time.Time
	Processes []ProcessRestart
}

// Restarts returns the restarts that the lines show, oldest first. Lines of VMs whose
// clocks differ are only comparable if a supervisor has added its own time to them.
func Restarts(lines []Line) []Restart {
	lines = slices.Clone(lines)
	alignClocks(lines)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.at().Compare(b.at()), cmp.Compare(a.VM, b.VM))
	})
	var restarts []Restart
	lastStart := time.Time{}
	for _, l := range lines {
		if l.Event != eventStart {
			continue
		}
		if len(restarts) == 0 || l.at().Sub(lastStart) > restartGap {
			restarts = append(restarts, Restart{Begin: l.at()})
		}
		lastStart = l.at()
		r := &restarts[len(restarts)-1]
		r.Processes = append(r.Processes, ProcessRestart{
			VM: l.VM, Role: l.Fields["role"], Started: l.at().Sub(r.Begin), Steps: make(map[string]time.Duration),
		})
	}
	for i := range restarts {
		restarts[i].addSteps(lines)
	}
	return restarts
}

// alignClocks sets the supervisor's time of each line to the time at which the process
// wrote it, since processes write several lines at once and the supervisor receives them
// late. The smallest delay of a process's lines is taken for none. It assumes that the
// process's clock does not jump.
func alignClocks(lines []Line) {
	byProcess := make(map[string][]int)
	starts := make(map[string]int)
	for i, l := range lines {
		if l.Received == 0 {
			continue
		}
		if l.Event == eventStart {
			starts[l.VM]++
		}
		process := fmt.Sprintf("%s %d", l.VM, starts[l.VM])
		byProcess[process] = append(byProcess[process], i)
	}
	for _, own := range byProcess {
		offset := time.Duration(math.MaxInt64)
		for _, i := range own {
			offset = min(offset, lines[i].Received-time.Duration(lines[i].Time.UnixNano()))
		}
		for _, i := range own {
			lines[i].Received = time.Duration(lines[i].Time.UnixNano()) + offset
		}
	}
}

// addSteps adds what the processes have logged since their start.
func (r *Restart) addSteps(lines []Line) {
	byVM := make(map[string]*ProcessRestart)
	for i := range r.Processes {
		byVM[r.Processes[i].VM] = &r.Processes[i]
	}
	for _, l := range lines {
		p, since := byVM[l.VM], l.at().Sub(r.Begin)
		if p == nil || since < p.Started || since > restartPeriod {
			continue
		}
		_, seen := p.Steps[l.Event]
		switch {
		case l.Event == eventEnd:
			p.addRequest(&l, since)
		case !seen && slices.Contains(startSteps, l.Event):
			p.Steps[l.Event] = since
		}
	}
}

// addRequest counts the end of a request. Only turns have a first event.
func (p *ProcessRestart) addRequest(l *Line, since time.Duration) {
	took, first := millis(l.Fields["took"]), millis(l.Fields["first"])
	answeredAt := since - took + first
	switch {
	case l.Reason == reasonAnswered && first > 0 && (p.FirstTurn == 0 || answeredAt < p.FirstTurn):
		p.FirstTurn = answeredAt
	case l.Reason != reasonAnswered && p.FirstTurn == 0:
		p.Refused++
	}
}

// millis parses a number of milliseconds; zero if the text is none.
func millis(text string) time.Duration {
	d, err := time.ParseDuration(text + "ms")
	if err != nil {
		return 0
	}
	return d
}

// FirstTurns returns the times of the processes' first turns in ascending order.
func (r *Restart) FirstTurns() []time.Duration {
	var times []time.Duration
	for _, p := range r.Processes {
		if p.FirstTurn > 0 {
			times = append(times, p.FirstTurn)
		}
	}
	slices.Sort(times)
	return times
}

// percentile returns the smallest of the sorted times that is not below a share of them.
func percentile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// WriteRestarts writes a table for each restart, with times in milliseconds since its first
// start.
func WriteRestarts(w io.Writer, restarts []Restart) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range restarts {
		fmt.Fprintf(out, "%s  %d processes started\n", r.Begin.UTC().Format(time.RFC3339Nano), len(r.Processes))
		fmt.Fprintf(out, "VM\trole\tstart\t%s\tfirst_turn\trefused\n", strings.Join(startSteps, "\t"))
		for _, p := range r.Processes {
			fmt.Fprintf(out, "%s\t%s\t%d", p.VM, p.Role, p.Started.Milliseconds())
			for _, step := range startSteps {
				fmt.Fprintf(out, "\t%s", optionalMillis(p.Steps[step]))
			}
			fmt.Fprintf(out, "\t%s\t%d\n", optionalMillis(p.FirstTurn), p.Refused)
		}
		if times := r.FirstTurns(); len(times) > 0 {
			fmt.Fprintf(out, "first turns of %d processes: first %d ms, median %d ms, 90th percentile %d ms\n", len(times),
				times[0].Milliseconds(), percentile(times, 0.5).Milliseconds(), percentile(times, 0.9).Milliseconds())
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}

// optionalMillis returns a time in milliseconds, or a dash if it is not known.
func optionalMillis(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return strconv.FormatInt(d.Milliseconds(), 10)
}
