package local

import (
	"context"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

func TestRestartDuringStoreOutageGetsConfigurationFromPeers(t *testing.T) {
	d := start(t, smallOptions(t))
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	d.KVServer().SetOutage(true)
	entry, side := d.Entries()[0], d.Sidecars()[0]
	entry.Kill()
	side.Kill()
	require.NoError(t, entry.Start())
	require.NoError(t, side.Start())
	require.Eventually(t, func() bool {
		return entry.Node().Generation() == 1 && side.Node().Generation() == 1
	}, eventuallyTimeout, 10*time.Millisecond)
	_, err := newClient(d.Entries()[1], option.WithAPIKey(walkInKey)).Chat.Completions.New(ctx, chatParams("hello"))
	require.NoError(t, err, errorCode(err))
}

func TestStateOfDeploymentThatIsNotReady(t *testing.T) {
	d := start(t, smallOptions(t))
	d.entries[0].Kill()
	ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	err := d.waitReady(ctx)
	require.ErrorIs(t, err, errNotReady)
	require.ErrorContains(t, err, "state of "+d.entries[0].Name()+": ")
	require.ErrorContains(t, err, "state of "+d.entries[1].Name()+"#")
}
