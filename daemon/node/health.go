package node

import (
	"sync"

	"github.com/phuslu/log"
)

// health logs when a service begins to fail and when it answers again, so that
// an outage does not fill the log.
type health struct {
	log *log.Logger

	mu      sync.Mutex
	failing map[string]bool
}

func newHealth(logger *log.Logger) *health {
	return &health{log: logger, failing: make(map[string]bool)}
}

// note records the result of a step at a service.
func (h *health) note(step string, err error) {
	h.mu.Lock()
	before := h.failing[step]
	h.failing[step] = err != nil
	h.mu.Unlock()
	switch {
	case err != nil && !before:
		h.log.Warn().Str("step", step).Err(err).Msg("the platform fails")
	case err != nil:
		h.log.Debug().Str("step", step).Err(err).Msg("the platform still fails")
	case before:
		h.log.Info().Str("step", step).Msg("the platform answers again")
	}
}
