package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

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

// inject kills an entry for good and a sidecar that starts again in place.
func (f *faults) inject(ctx context.Context, d *local.Deployment) {
	entry, side := d.Entries()[0], d.Sidecars()[0]
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
