package direct

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// warmUpRounds is the number of rounds before the adversary starts. The slot gets
// its owner during these rounds.
const warmUpRounds = 40

// Violation is a path that violates an invariant.
type Violation struct {
	Seed  uint64
	Err   error
	Trace []string
}

// String returns the error and the numbered events of the path.
func (v *Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %v\n", v.Seed, v.Err)
	for i, line := range v.Trace {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, line)
	}
	return b.String()
}

// Report counts the choices and events of a search.
type Report struct {
	Paths, Choices int
	// Executed counts the calls that were executed, Refused those that were
	// reported as not run.
	Executed, Refused int
	// Takeovers counts the changes of owner after the first.
	Takeovers int
	Violation *Violation
}

// Search follows paths from consecutive seeds and stops soon after a violation.
// It reports the violation with the lowest seed among those found.
func Search(o Options, seed uint64, paths int) Report {
	var next atomic.Uint64
	var mu sync.Mutex
	var report Report
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for n := next.Add(1) - 1; n < uint64(paths); n = next.Add(1) - 1 {
				w := runPath(o, seed+n)
				mu.Lock()
				report.add(w)
				done := report.Violation != nil
				mu.Unlock()
				if done {
					return
				}
			}
		})
	}
	wg.Wait()
	return report
}

func (r *Report) add(w *world) {
	r.Paths++
	r.Choices += w.opts.Steps
	r.Executed += len(w.executed)
	r.Refused += len(w.reportedNotRun)
	r.Takeovers += max(int(w.revision)-1, 0)
	if w.violation == nil {
		return
	}
	if r.Violation == nil || w.seed < r.Violation.Seed {
		r.Violation = &Violation{Seed: w.seed, Err: w.violation, Trace: w.trace}
	}
}

// runPath follows one path until its end or a violation.
func runPath(o Options, seed uint64) *world {
	w := newWorld(o, seed)
	w.warmUp()
	for range o.Steps {
		w.choose()
		w.adoptReducerViolation()
		if w.violation != nil {
			break
		}
	}
	return w
}

// warmUp delivers everything without an adversary, until the processes are
// connected and the slot has its owner.
func (w *world) warmUp() {
	for range warmUpRounds {
		for _, p := range w.procs {
			p.now = p.now.Add(shortTick)
			w.step(p, core.Tick{})
		}
		for len(w.inFlight) > 0 {
			f := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.receive(f)
		}
		for len(w.storeCalls) > 0 {
			op := w.storeCalls[0]
			w.storeCalls = w.storeCalls[1:]
			res := w.apply(op)
			res.Op = operationNumber(op.effect)
			w.step(w.currentProcess(op.by), res)
		}
	}
}

// adoptReducerViolation records a violation that a reducer itself has detected.
func (w *world) adoptReducerViolation() {
	if texts := w.invariants.Messages(); len(texts) > 0 {
		w.fail("%s", texts[0])
	}
}
