package quorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
)

// A chain that several members hold parts of is bounded as a whole.
func TestChainOfPartsIsBounded(t *testing.T) {
	member := func(req *ledgerpb.Request) *ledgerpb.Response {
		if req.GetReadChain().GetTurn() == "t3" {
			return chainResponse("333", "t2")
		}
		if most := req.GetReadChain().GetMaxBytes(); most > 0 && most < 4 {
			return &ledgerpb.Response{Status: ledgerpb.Status_STATUS_TOO_LONG, ChainBytes: 4}
		}
		return chainResponse("1122", "")
	}
	client, _ := newClient(t, member, member, member)
	_, err := client.ReadChain(contextWithTimeout(t, 5*time.Second), "t3", 6)
	var tooLong *quorum.ChainTooLongError
	require.ErrorAs(t, err, &tooLong)
	assert.Equal(t, 7, tooLong.Bytes)
	text, err := client.ReadChain(contextWithTimeout(t, 5*time.Second), "t3", tooLong.Bytes)
	require.NoError(t, err)
	assert.Equal(t, "1122333", string(text))
}

// Two members have parts of a chain that goes round.
func TestChainOfPartsWithoutEndIsTooLong(t *testing.T) {
	member := func(req *ledgerpb.Request) *ledgerpb.Response {
		if req.GetReadChain().GetTurn() == "x" {
			return chainResponse("1", "y")
		}
		return chainResponse("2", "x")
	}
	client, _ := newClient(t, member, member, member)
	_, err := client.ReadChain(contextWithTimeout(t, 5*time.Second), "x", 0)
	var tooLong *quorum.ChainTooLongError
	require.ErrorAs(t, err, &tooLong)
}
