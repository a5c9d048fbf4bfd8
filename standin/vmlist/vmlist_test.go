package vmlist

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/vmlist"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/fault"
)

func vmsOf(id core.VM) []core.VMInfo {
	return []core.VMInfo{{VM: id, Domain: "d", Role: core.RoleEntry, Addr: "127.0.0.1:1"}}
}

func TestChangesAreVisibleAfterDelay(t *testing.T) {
	s := NewServer(200 * time.Millisecond)
	addr, err := s.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	source := vmlist.HTTP{URL: "http://" + addr + "/vms"}
	read := func() []core.VMInfo {
		vms, err := source.Read(t.Context())
		require.NoError(t, err)
		return vms
	}
	require.Empty(t, read())
	require.NoError(t, s.SetVMs(vmsOf("a")))
	require.Equal(t, vmsOf("a"), read())
	changed := time.Now()
	require.NoError(t, s.SetVMs(vmsOf("b")))
	require.Eventually(t, func() bool { return read()[0].VM == "b" }, 20*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(changed), 200*time.Millisecond)
	s.Server.SetFaults(fault.Faults{Status: 500})
	_, err = source.Read(t.Context())
	var e *vmlist.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, vmlist.StepRead, e.Step)
}
