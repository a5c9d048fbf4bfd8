package relay

import (
	"context"
	"errors"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/quorum"
)

const (
	// DefaultMaxChainBytes is the default of Options.MaxChainBytes.
	DefaultMaxChainBytes = 16 << 20
	// firstChainBytes is the size up to which a chain is read before its size is known.
	firstChainBytes = 64 << 10
	// chainCopies is how many times the process holds a chain at most: as a message and decoded,
	// and then decoded and in the prompt.
	chainCopies = 2
)

// errChainTooLong means that a turn continues a chain that has become too long to be continued.
var errChainTooLong = errors.New("chain of turns exceeds the size limit")

// readChain reads the chain that the turn continues, and takes the memory for it and for the prompt.
// A chain is read once its size is known. Members that lack turns of it know the size of their part
// only, so it is asked for again until all parts are known.
func (t *turn) readChain(ctx context.Context) ([]byte, error) {
	id := t.scope.qualify(t.call.Previous)
	if !t.memory.grow(len(t.body)) {
		return nil, errNoMemory
	}
	// Invariant: size grows with each round and is bounded by the size limit.
	for held, size := 0, firstChainBytes; ; {
		if !t.memory.grow(chainCopies * (size - held)) {
			return nil, errNoMemory
		}
		held = size
		chain, err := t.relay.ledger.ReadChain(ctx, id, size)
		var tooLong *quorum.ChainTooLongError
		if !errors.As(err, &tooLong) {
			t.memory.shrink(chainCopies * max(held-len(chain), 0))
			return chain, err
		}
		if tooLong.Bytes+len(t.body) > max(t.relay.maxChainBytes, int(t.config.Limits.BodyBytes)) {
			return nil, errChainTooLong
		}
		size = tooLong.Bytes
	}
}
