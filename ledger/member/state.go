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
	// statePeriod is the time between two looks whether what the store holds has
	// changed. It is well under the time in which a configuration has to apply.
	statePeriod = 300 * time.Millisecond
)

// loadState takes what the store held when this member last read it, so that the
// whole system can start again while the store is away.
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
		m.log.Warn().Str("event", "state_unreadable").Str("peer", path).Err(err).Msg("the store or other members will tell")
		return
	}
	m.options.Directory.Merge(state, time.Now())
	m.log.Info().Str("event", "state_read").Int64("revision", state.GetRevision()).Msg("")
}

// keepState writes what the store holds to the disk when it has changed.
func (m *Member) keepState(ctx context.Context) {
	path := filepath.Join(m.options.Dir, stateFile)
	written := int64(0)
	for ctx.Err() == nil {
		ctxwait.For(ctx, statePeriod)
		state := m.options.Directory.State()
		if state.GetRevision() == written {
			continue
		}
		data, err := proto.Marshal(state)
		if err == nil {
			err = replaceFile(path, data)
		}
		if err != nil {
			m.log.Warn().Str("event", "state_not_kept").Err(err).Msg("trying again")
			continue
		}
		written = state.GetRevision()
	}
}
