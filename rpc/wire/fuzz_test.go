package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// FuzzEnvelope decodes arbitrary bytes as a message between processes. What
// decodes must survive another round trip.
func FuzzEnvelope(f *testing.F) {
	for _, msg := range []core.Message{
		core.Heartbeat{Domain: "milano-a", Generation: 3},
		core.Forward{Call: core.Call{Program: "p", Blocks: []core.Block{{Digest: 1, Tokens: 2}}}},
		core.ReplicaWrite{Snapshot: &core.SlotSnapshot{Programs: []*core.Program{{ID: "p"}}}},
		core.PromiseRequest{Slot: 1, Epoch: core.Epoch{Version: 2, Rank: 3}},
	} {
		env, err := Encode(msg, 7)
		require.NoError(f, err)
		raw, err := proto.Marshal(env)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var env peerpb.Envelope
		if proto.Unmarshal(raw, &env) != nil {
			return
		}
		msg, err := Decode(&env)
		if err != nil {
			return
		}
		again, err := Encode(msg, core.Incarnation(env.GetToInc()))
		require.NoError(t, err)
		same, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, msg, same)
	})
}
