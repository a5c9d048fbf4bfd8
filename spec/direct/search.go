package direct

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// warmRounds is the number of rounds without an adversary in which the slot
// gets its owner.
const warmRounds = 40

// Violation is a path that breaks an invariant.
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

// Report counts what a search has covered.
type Report struct {
	Paths, Choices int
	// Executed and Refused count calls by what became of them.
	Executed, Refused int
	// Takeovers counts the changes of owner after the first.
	Takeovers int
	Violation *Violation
}

// Search follows paths from consecutive seeds and stops at a violation.
func Search(o Options, seed uint64, paths int) Report {
	var next atomic.Uint64
	var mu sync.Mutex
	var report Report
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for n := next.Add(1) - 1; n < uint64(paths); n = next.Add(1) - 1 {
				w := run(o, seed+n)
				mu.Lock()
				report.take(w)
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

func (r *Report) take(w *world) {
	r.Paths++
	r.Choices += w.opts.Steps
	r.Executed += len(w.executed)
	r.Refused += len(w.saidNot)
	r.Takeovers += max(int(w.rev)-1, 0)
	if w.fault == nil {
		return
	}
	if r.Violation == nil || w.seed < r.Violation.Seed {
		r.Violation = &Violation{Seed: w.seed, Err: w.fault, Trace: w.trace}
	}
}

// run follows one path.
func run(o Options, seed uint64) *world {
	w := newWorld(o, seed)
	w.warmUp()
	for range o.Steps {
		w.choose()
		w.checkReducers()
		if w.fault != nil {
			break
		}
	}
	return w
}

// warmUp lets the processes find each other and the slot get its owner.
func (w *world) warmUp() {
	for range warmRounds {
		for _, p := range w.procs {
			p.now = p.now.Add(shortTick)
			w.step(p, core.Tick{})
		}
		for len(w.flights) > 0 {
			f := w.flights[0]
			w.flights = w.flights[1:]
			w.pass(f)
		}
		for len(w.ops) > 0 {
			op := w.ops[0]
			w.ops = w.ops[1:]
			res := w.apply(op)
			res.Op = operationNumber(op.effect)
			w.step(w.process(op.by), res)
		}
	}
}

// checkReducers takes over a violation that a reducer itself has found.
func (w *world) checkReducers() {
	if texts := w.check.Messages(); len(texts) > 0 {
		w.fail("%s", texts[0])
	}
}
