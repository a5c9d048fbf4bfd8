package node

import (
	"sync"

	"github.com/phuslu/log"
)

// outageLog logs when a step at a service begins to fail and when it recovers, so that an
// outage does not flood the log.
type outageLog struct {
	log *log.Logger

	mu      sync.Mutex
	failing map[string]bool
}

func newOutageLog(logger *log.Logger) *outageLog {
	return &outageLog{log: logger, failing: make(map[string]bool)}
}

// record records the result of a step at a service.
func (o *outageLog) record(step string, err error) {
	o.mu.Lock()
	before := o.failing[step]
	o.failing[step] = err != nil
	o.mu.Unlock()
	switch {
	case err != nil && !before:
		o.log.Warn().Str("step", step).Err(err).Msg("platform step failed; retrying")
	case err != nil:
		o.log.Debug().Str("step", step).Err(err).Msg("platform step still fails; retrying")
	case before:
		o.log.Info().Str("step", step).Msg("platform step recovered")
	}
}
