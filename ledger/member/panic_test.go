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

// The state of a replica that panicked cannot be trusted, so the member has to stop
// with an error.
func TestReplicaPanicStopsMember(t *testing.T) {
	quiet := &log.Logger{Level: log.PanicLevel}
	m, err := Open(Options{
		Name: "m1", Addr: "127.0.0.1:0", Dir: t.TempDir(), Log: quiet,
		Directory: discovery.NewDirectory(discovery.Decoder{}, quiet, func(discovery.Snapshot) {}),
	})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- m.Run(context.Background()) }()
	// A stored record without its key, which the disk never reports, makes the replica
	// panic.
	m.post(ledger.Stored{Records: []*ledgerpb.Record{ledger.NewSettlement("p", "a", 1, "")}})
	select {
	case err := <-ended:
		var panicked *mailbox.PanicError
		require.ErrorAs(t, err, &panicked)
	case <-time.After(10 * time.Second):
		t.Fatal("the member did not stop after the panic")
	}
}
