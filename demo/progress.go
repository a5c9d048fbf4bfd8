package demo

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// progressPeriod is the time between two progress lines.
const progressPeriod = 500 * time.Millisecond

// showProgress prints the progress of the runs until stop is called.
func showProgress(o Options, runs []*run) (stop func()) {
	done := make(chan struct{})
	var printing sync.WaitGroup
	printing.Go(func() {
		began := time.Now()
		last := ""
		for {
			line := progressLine(runs)
			if o.Terminal {
				fmt.Fprintf(o.Out, "\r\x1b[K%5.1fs  %s", time.Since(began).Seconds(), line)
			} else if line != last {
				fmt.Fprintf(o.Out, "%5.1fs  %s\n", time.Since(began).Seconds(), line)
			}
			last = line
			select {
			case <-done:
				fmt.Fprintln(o.Out)
				return
			case <-time.After(progressPeriod):
			}
		}
	})
	return func() {
		close(done)
		printing.Wait()
	}
}

func progressLine(runs []*run) string {
	var parts []string
	for _, r := range runs {
		part := fmt.Sprintf("%s %d/%d", r.scenario.dir, r.stats.ended.Load(), r.options.Programs)
		if injected, _ := r.faults.list(); len(injected) > 0 {
			part += " [" + strings.Join(injected, ", ") + "]"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "  ")
}
