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

const (
	// restartPause is how long a killed process is down.
	restartPause = time.Second
	// roundPause is the time between two rounds of failures.
	roundPause = 1500 * time.Millisecond
)

// faults are the failures that were injected into a deployment.
type faults struct {
	mu         sync.Mutex
	injected   []string
	violations []string
}

// inject kills the busiest entry for good and a sidecar that starts again in
// place. Each further round kills the busiest entry and the next sidecar, and
// both start again in place.
func (f *faults) inject(ctx context.Context, d *local.Deployment, rounds int) {
	for round := range rounds {
		entry := busiest(ctx, d.Entries())
		side := d.Sidecars()[round%len(d.Sidecars())]
		f.kill(ctx, "entry", entry)
		f.kill(ctx, "sidecar", side)
		if round == 0 {
			if err := entry.Remove(); err != nil {
				f.note("VM list: %v", err)
			}
		}
		time.Sleep(restartPause)
		f.restart("sidecar", side)
		if round > 0 {
			f.restart("entry", entry)
		}
		if round < rounds-1 {
			time.Sleep(roundPause)
		}
	}
}

func (f *faults) kill(ctx context.Context, role string, vm *local.VM) {
	f.collect(ctx, vm)
	vm.Kill()
	f.note("%s %s killed", role, vm.Name())
}

func (f *faults) restart(role string, vm *local.VM) {
	if err := vm.Start(); err != nil {
		f.note("%s %s does not start: %v", role, vm.Name(), err)
	}
}

// busiest returns the entry that is the home of the most slots.
func busiest(ctx context.Context, entries []*local.VM) *local.VM {
	best, most := entries[0], -1
	for _, e := range entries {
		if !e.IsRunning() {
			continue
		}
		status, err := e.Status(ctx)
		if err != nil {
			continue
		}
		var state reducer.Status
		if json.Unmarshal(status.State, &state) == nil && state.OwnedSlots > most {
			best, most = e, state.OwnedSlots
		}
	}
	return best
}

// collect keeps the violated promises that a life has recorded.
func (f *faults) collect(ctx context.Context, vm *local.VM) {
	if !vm.IsRunning() {
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
