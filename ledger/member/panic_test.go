package member

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/mailbox"
)

// The state of a replica that panicked cannot be trusted, so the member has to stop
// with an error.
func TestReplicaPanicStopsMember(t *testing.T) {
	m, err := Open(Options{Name: "m1", Addr: "127.0.0.1:0", Dir: t.TempDir(), Log: quietLogger(), Directory: emptyDirectory()})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- m.Run(context.Background()) }()
	// A stored record without its location, which the disk never reports, makes the replica
	// panic.
	m.post(ledger.Stored{Summaries: []ledger.Summary{{Program: "p"}}})
	select {
	case err := <-ended:
		var panicked *mailbox.PanicError
		require.ErrorAs(t, err, &panicked)
	case <-time.After(10 * time.Second):
		t.Fatal("the member did not stop after the panic")
	}
}
