package quorum_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
)

// While members are overloaded, a program that has not begun is refused at once, and those that
// have begun try another member (storage VMs of further-grown with a third of their processors).
func TestOverloadedMemberRefusesOnlyStartsOfPrograms(t *testing.T) {
	var asked atomic.Int64
	overloaded := func(*ledgerpb.Request) *ledgerpb.Response {
		asked.Add(1)
		return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_OVERLOADED}
	}
	client := newRelayClient(t, overloaded, overloaded, overloaded)
	start := ledger.NewReservation("p", "a", 1, 1)
	start.GetReservation().StartsProgram = true
	_, err := client.Append(contextWithTimeout(t, 5*time.Second), start)
	require.ErrorIs(t, err, quorum.ErrOverloaded)
	assert.EqualValues(t, 1, asked.Load())

	client = newRelayClient(t, overloaded, accepts, overloaded)
	_, err = client.Append(contextWithTimeout(t, 5*time.Second), record)
	assert.NoError(t, err)
}
