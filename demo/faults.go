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
	// restartDelay is the time between the kill of a process and its restart.
	restartDelay = time.Second
	// roundInterval is the time between two rounds of faults.
	roundInterval = 1500 * time.Millisecond
)

// faults are the faults injected into a deployment and the invariant violations
// that its daemons reported.
type faults struct {
	mu         sync.Mutex
	injected   []string
	violations []string
}

// inject kills the entry that owns the most slots and a sidecar. In the first
// round it removes the entry's VM from the VM list and restarts only the
// sidecar. In each further round it kills the entry that owns the most slots by
// then and the next sidecar, and restarts both.
func (f *faults) inject(ctx context.Context, d *local.Deployment, rounds int) {
	for round := range rounds {
		entry := busiest(ctx, d.Entries())
		sidecar := d.Sidecars()[round%len(d.Sidecars())]
		f.kill(ctx, "entry", entry)
		f.kill(ctx, "sidecar", sidecar)
		if round == 0 {
			if err := entry.Remove(); err != nil {
				f.recordFault("removal from the VM list failed: %v", err)
			}
		}
		time.Sleep(restartDelay)
		f.restart("sidecar", sidecar)
		if round > 0 {
			f.restart("entry", entry)
		}
		if round < rounds-1 {
			time.Sleep(roundInterval)
		}
	}
}

func (f *faults) kill(ctx context.Context, role string, vm *local.VM) {
	f.collectViolations(ctx, vm)
	vm.Kill()
	f.recordFault("%s %s killed", role, vm.Name())
}

func (f *faults) restart(role string, vm *local.VM) {
	if err := vm.Start(); err != nil {
		f.recordFault("restart of %s %s failed: %v", role, vm.Name(), err)
	}
}

// busiest returns the running entry that owns the most slots.
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

// collectViolations records the invariant violations that a running process has
// reported. It is called before a kill, because the process loses its
// violations at a restart.
func (f *faults) collectViolations(ctx context.Context, vm *local.VM) {
	if !vm.IsRunning() {
		return
	}
	status, err := vm.Status(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.violations = append(f.violations, fmt.Sprintf("status of %s is not available: %v", vm.Name(), err))
		return
	}
	f.violations = append(f.violations, status.Violations...)
}

func (f *faults) recordFault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected = append(f.injected, fmt.Sprintf(format, args...))
}

func (f *faults) list() (injected, violations []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.injected...), append([]string(nil), f.violations...)
}
