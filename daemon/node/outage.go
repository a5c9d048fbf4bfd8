package node

import (
	"sync"

	"github.com/phuslu/log"
)

// outageLog logs when a repeated operation begins to fail and when it recovers.
// Failures in between are logged at debug level only, so that an outage does not flood
// the log.
type outageLog struct {
	log *log.Logger

	mu      sync.Mutex
	failing map[string]bool
}

func newOutageLog(logger *log.Logger) *outageLog {
	return &outageLog{log: logger, failing: make(map[string]bool)}
}

// record records the result of one operation; step names it.
func (o *outageLog) record(step string, err error) {
	o.mu.Lock()
	before := o.failing[step]
	o.failing[step] = err != nil
	o.mu.Unlock()
	switch {
	case err != nil && !before:
		o.log.Warn().Str("step", step).Err(err).Msg("operation failed; retrying")
	case err != nil:
		o.log.Debug().Str("step", step).Err(err).Msg("operation still fails; retrying")
	case before:
		o.log.Info().Str("step", step).Msg("operation recovered")
	}
}
