package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	reducer "github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/local"
)

// restartPause is how long the killed sidecar is down.
const restartPause = time.Second

// faults are the failures that were injected into a deployment.
type faults struct {
	mu         sync.Mutex
	injected   []string
	violations []string
}

// inject kills the busiest entry for good and a sidecar that starts again in place.
func (f *faults) inject(ctx context.Context, d *local.Deployment) {
	entry, side := busiest(ctx, d.Entries()), d.Sidecars()[0]
	f.collect(ctx, entry)
	f.collect(ctx, side)
	entry.Kill()
	f.note("entry %s killed", entry.Name())
	if err := entry.Remove(); err != nil {
		f.note("VM list: %v", err)
	}
	side.Kill()
	f.note("sidecar %s killed", side.Name())
	time.Sleep(restartPause)
	if err := side.Start(); err != nil {
		f.note("sidecar %s does not start: %v", side.Name(), err)
	}
}

// busiest returns the entry that is the home of the most slots.
func busiest(ctx context.Context, entries []*local.VM) *local.VM {
	best, most := entries[0], -1
	for _, e := range entries {
		status, err := e.Status(ctx)
		if err != nil {
			continue
		}
		var state reducer.Status
		if json.Unmarshal(status.State, &state) == nil && state.Home > most {
			best, most = e, state.Home
		}
	}
	return best
}

// collect keeps the violated promises that a life has recorded.
func (f *faults) collect(ctx context.Context, vm *local.VM) {
	if !vm.Alive() {
		return
	}
	status, err := vm.Status(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.violations = append(f.violations, fmt.Sprintf("%s shows no state: %v", vm.Name(), err))
		return
	}
	f.violations = append(f.violations, status.Violations...)
}

func (f *faults) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected = append(f.injected, fmt.Sprintf(format, args...))
}

func (f *faults) list() (injected, violations []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.injected...), append([]string(nil), f.violations...)
}
