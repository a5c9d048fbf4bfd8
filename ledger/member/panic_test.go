package member

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/mailbox"
)

// A replica that panicked cannot be trusted; the member has to end and say so.
func TestPanicOfTheReplicaEndsTheMember(t *testing.T) {
	quiet := &log.Logger{Level: log.PanicLevel}
	m, err := Open(Options{
		Name: "m1", Addr: "127.0.0.1:0", Dir: t.TempDir(), Log: quiet,
		Directory: discovery.NewDirectory(discovery.Decoder{}, quiet, func(discovery.Snapshot) {}),
	})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- m.Run(context.Background()) }()
	// No disk reports a stored record without its key.
	m.post(ledger.Stored{Records: []*ledgerpb.Record{ledger.NewSettlement("p", "a", 1, "")}})
	select {
	case err := <-ended:
		var panicked *mailbox.PanicError
		require.ErrorAs(t, err, &panicked)
	case <-time.After(10 * time.Second):
		t.Fatal("the member goes on")
	}
}
