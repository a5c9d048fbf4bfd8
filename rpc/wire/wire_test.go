package wire

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// roundTrip encodes a random message, marshals it, decodes it again and checks
// that it is unchanged.
func roundTrip[M core.Message](t *rapid.T) {
	msg := rapid.Make[M]().Draw(t, "message")
	clearEmpty(any(&msg))
	env, err := Encode(msg, 7)
	require.NoError(t, err)
	raw, err := proto.Marshal(env)
	require.NoError(t, err)
	var decoded peerpb.Envelope
	require.NoError(t, proto.Unmarshal(raw, &decoded))
	require.EqualValues(t, 7, decoded.GetToInc())
	got, err := Decode(&decoded)
	require.NoError(t, err)
	require.Equal(t, core.Message(msg), got)
}

var roundTrips = map[string]func(*rapid.T){
	"Forward":        roundTrip[core.Forward],
	"Placed":         roundTrip[core.Placed],
	"Finished":       roundTrip[core.Finished],
	"Withdraw":       roundTrip[core.Withdraw],
	"EndRequest":     roundTrip[core.EndRequest],
	"ReplicaWrite":   roundTrip[core.ReplicaWrite],
	"ReplicaAck":     roundTrip[core.ReplicaAck],
	"Heartbeat":      roundTrip[core.Heartbeat],
	"SlotUpdate":     roundTrip[core.SlotUpdate],
	"SlotQuery":      roundTrip[core.SlotQuery],
	"Handover":       roundTrip[core.Handover],
	"Dispatch":       roundTrip[core.Dispatch],
	"QueryAttempt":   roundTrip[core.QueryAttempt],
	"CancelAttempt":  roundTrip[core.CancelAttempt],
	"AckResult":      roundTrip[core.AckResult],
	"EndProgram":     roundTrip[core.EndProgram],
	"Hello":          roundTrip[core.Hello],
	"Result":         roundTrip[core.Result],
	"LoadReport":     roundTrip[core.LoadReport],
	"PromiseRequest": roundTrip[core.PromiseRequest],
	"PromiseReply":   roundTrip[core.PromiseReply],
	"HistoryRequest": roundTrip[core.HistoryRequest],
	"HistoryFound":   roundTrip[core.HistoryFound],
	"HistoryStored":  roundTrip[core.HistoryStored],
	"HistoryDrop":    roundTrip[core.HistoryDrop],
}

// messageMethod matches the declaration of the method that makes a type a
// core.Message.
var messageMethod = regexp.MustCompile(`(?m)^func \((\w+)\) +message\(\)`)

func TestRoundTripOfEveryMessage(t *testing.T) {
	source, err := os.ReadFile("../../core/message.go")
	require.NoError(t, err)
	var names []string
	for _, match := range messageMethod.FindAllSubmatch(source, -1) {
		names = append(names, string(match[1]))
	}
	require.ElementsMatch(t, names, slices.Collect(maps.Keys(roundTrips)))
	for name, check := range roundTrips {
		t.Run(name, func(t *testing.T) { rapid.Check(t, check) })
	}
}

func TestDecodeRejectsEmptyEnvelope(t *testing.T) {
	_, err := Decode(&peerpb.Envelope{})
	var unknown *UnknownMessageError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "decode", unknown.Step)
}
