package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// subscribedTargets returns the targets from which an entry requests load
// reports within a duration.
func subscribedTargets(e *Entry, from core.Instant, d core.Duration) map[core.VM]bool {
	vms := map[core.VM]bool{}
	for now := from; now < from.Add(d); now = now.Add(100 * core.Millisecond) {
		for _, ef := range e.Step(core.Tick{}, now) {
			if s, ok := ef.(core.Send); ok && s.Msg == (core.Hello{}) {
				vms[s.To.VM] = true
			}
		}
	}
	return vms
}

// targetList returns a VM list with targets of two pools.
func targetList(first, second int) core.VMList {
	var vms []core.VMInfo
	for i := range first {
		vms = append(vms, core.VMInfo{VM: core.VM(fmt.Sprintf("a%d", i)), Role: core.RoleSidecar, Pool: "a"})
	}
	for i := range second {
		vms = append(vms, core.VMInfo{VM: core.VM(fmt.Sprintf("b%d", i)), Role: core.RoleSidecar, Pool: "b"})
	}
	return core.VMList{VMs: vms}
}

func newTestEntry(vm core.VM) *Entry {
	return New(Options{Self: core.Node{VM: vm, Inc: 1}, Domain: "d", Seed: 1})
}

func TestEntrySubscribesToSubsetOfEachPool(t *testing.T) {
	tests := []struct{ first, second, want int }{
		{10, 5, 15},
		{subsetTargets, 1, subsetTargets + 1},
		{300, 20, subsetTargets + 20},
	}
	for _, tt := range tests {
		e := newTestEntry("e1")
		now := core.Instant(core.Hour)
		e.Step(targetList(tt.first, tt.second), now)
		require.Len(t, subscribedTargets(e, now, 3*core.Second), tt.want)
	}
}

func TestSubsetsOfEntriesDiffer(t *testing.T) {
	now := core.Instant(core.Hour)
	subscribers := map[core.VM]int{}
	for i := range 100 {
		e := newTestEntry(core.VM(fmt.Sprintf("e%d", i)))
		e.Step(targetList(640, 0), now)
		for vm := range subscribedTargets(e, now, 200*core.Millisecond) {
			subscribers[vm]++
		}
	}
	require.Greater(t, len(subscribers), 630, "nearly every target has a subscriber")
	for vm, n := range subscribers {
		require.Less(t, n, 30, "about 10 entries should subscribe to %s", vm)
	}
}

func TestTargetInUseStaysSubscribed(t *testing.T) {
	e := newTestEntry("e1")
	now := core.Instant(core.Hour)
	e.Step(targetList(300, 0), now)
	known := subscribedTargets(e, now, core.Second)
	var other core.VM
	for _, vm := range targetList(300, 0).VMs {
		if !known[vm.VM] {
			other = vm.VM
		}
	}
	now = now.Add(core.Second)
	e.targets.markUsed(core.Node{VM: other, Inc: 1}, now)
	require.True(t, subscribedTargets(e, now, core.Second)[other])
	now = now.Add(usedRetention + core.Second)
	require.False(t, subscribedTargets(e, now, 3*core.Second)[other], "no program uses the target any more")
}
