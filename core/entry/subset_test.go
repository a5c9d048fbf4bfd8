package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// greeted returns the targets that an entry asks for load reports within a time.
func greeted(e *Entry, from core.Instant, d core.Duration) map[core.VM]bool {
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

// listing returns a VM list with targets of two pools.
func listing(first, second int) core.VMList {
	var vms []core.VMInfo
	for i := range first {
		vms = append(vms, core.VMInfo{VM: core.VM(fmt.Sprintf("a%d", i)), Role: core.RoleSidecar, Pool: "a"})
	}
	for i := range second {
		vms = append(vms, core.VMInfo{VM: core.VM(fmt.Sprintf("b%d", i)), Role: core.RoleSidecar, Pool: "b"})
	}
	return core.VMList{VMs: vms}
}

func newAlone(vm core.VM) *Entry {
	return New(Options{Self: core.Node{VM: vm, Inc: 1}, Domain: "d", Seed: 1})
}

func TestEntryListensToASubsetOfEachPool(t *testing.T) {
	tests := []struct{ first, second, want int }{
		{10, 5, 15},
		{subsetTargets, 1, subsetTargets + 1},
		{300, 20, subsetTargets + 20},
	}
	for _, tt := range tests {
		e := newAlone("e1")
		now := core.Instant(core.Hour)
		e.Step(listing(tt.first, tt.second), now)
		require.Len(t, greeted(e, now, 3*core.Second), tt.want)
	}
}

func TestSubsetsOfEntriesDiffer(t *testing.T) {
	now := core.Instant(core.Hour)
	listeners := map[core.VM]int{}
	for i := range 100 {
		e := newAlone(core.VM(fmt.Sprintf("e%d", i)))
		e.Step(listing(640, 0), now)
		for vm := range greeted(e, now, 200*core.Millisecond) {
			listeners[vm]++
		}
	}
	require.Greater(t, len(listeners), 630, "nearly every target has a listener")
	for vm, n := range listeners {
		require.Less(t, n, 30, "10 entries are expected to listen to %s", vm)
	}
}

func TestTargetInUseStaysKnown(t *testing.T) {
	e := newAlone("e1")
	now := core.Instant(core.Hour)
	e.Step(listing(300, 0), now)
	known := greeted(e, now, core.Second)
	var other core.VM
	for _, vm := range listing(300, 0).VMs {
		if !known[vm.VM] {
			other = vm.VM
		}
	}
	now = now.Add(core.Second)
	e.targets.use(core.Node{VM: other, Inc: 1}, now)
	require.True(t, greeted(e, now, core.Second)[other])
	now = now.Add(usedFor + core.Second)
	require.False(t, greeted(e, now, 3*core.Second)[other], "no program uses it any more")
}
