package member

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/ctxwait"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

const (
	stateFile = "state.pb"
	// stateCheckPeriod is the time between two checks for a changed state of the
	// store. It is well under the time within which a new configuration has to take
	// effect.
	stateCheckPeriod = 300 * time.Millisecond
)

// loadState reads the copy of the store's state that this member last wrote to
// its disk, so that all processes can restart while the store is unavailable.
func (m *Member) loadState() {
	path := filepath.Join(m.options.Dir, stateFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	state := &ledgerpb.State{}
	if err == nil {
		err = proto.Unmarshal(data, state)
	}
	if err != nil {
		m.log.Warn().Str("event", "state_unreadable").Str("peer", path).Err(err).Msg("reading the state from the store or from other members")
		return
	}
	m.options.Directory.Merge(state, time.Now())
	m.log.Info().Str("event", "state_read").Int64("revision", state.GetRevision()).Msg("")
}

// persistState writes the state of the store to the disk whenever it has changed.
func (m *Member) persistState(ctx context.Context) {
	path := filepath.Join(m.options.Dir, stateFile)
	written := int64(0)
	for ctx.Err() == nil {
		ctxwait.Sleep(ctx, stateCheckPeriod)
		state := m.options.Directory.State()
		if state.GetRevision() == written {
			continue
		}
		data, err := proto.Marshal(state)
		if err == nil {
			err = replaceFile(path, data)
		}
		if err != nil {
			m.log.Warn().Str("event", "state_not_kept").Err(err).Msg("retrying")
			continue
		}
		written = state.GetRevision()
	}
}
