package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/admit"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/limit"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/order"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/retain"
)

const (
	// defaultRetention is how long an acknowledged answer is stored if the configuration
	// sets no retention time.
	defaultRetention = 5 * core.Minute
	// defaultMaxIdle is the idle time after which a program's pins are released if
	// its kind sets none.
	defaultMaxIdle = 15 * core.Minute
	// defaultServiceConcurrency is the concurrency limit of a plain or tool
	// service whose settings contain none.
	defaultServiceConcurrency = 64
)

// settings is the part of the active configuration that a sidecar uses.
type settings struct {
	generation uint64
	pool       config.Pool
	kinds      map[string]config.ProgramKind
	retention  core.Duration
	order      order.Policy
	admit      admit.Policy
	limit      limit.Policy
	retain     retain.Policy
}

func defaultSettings() settings {
	st := settings{retention: defaultRetention, kinds: map[string]config.ProgramKind{}}
	st.updatePolicies(config.Pool{Kind: config.PoolModel})
	return st
}

// onConfig applies a configuration whose generation is above the active one.
func (s *Sidecar) onConfig(ev core.ConfigApplied) {
	if ev.Set == nil || ev.Generation <= s.settings.generation {
		return
	}
	s.settings.generation = ev.Generation
	if d := ev.Set.Ownership.AnswerRetention.Nanos(); d > 0 {
		s.settings.retention = d
	}
	s.settings.kinds = map[string]config.ProgramKind{}
	for _, kind := range ev.Set.Programs {
		s.settings.kinds[kind.Name] = kind
	}
	if pool := ev.Set.Pool(string(s.opts.Pool)); pool != nil {
		s.settings.updatePolicies(*pool)
	}
}

// updatePolicies replaces the policies whose settings have changed. Unchanged
// policies keep the state from their past observations.
func (st *settings) updatePolicies(pool config.Pool) {
	old := st.pool
	st.pool = pool
	isFirst := st.order == nil
	if isFirst || old.Policy.Order != pool.Policy.Order {
		st.order = orDefault(order.New(pool.Policy.Order))(order.New(""))
	}
	if isFirst || old.Policy.Admission != pool.Policy.Admission {
		st.admit = orDefault(admit.New(pool.Policy.Admission))(admit.New(""))
	}
	weight := pool.Policy.CacheWeight
	if isFirst || old.Policy.Retention != pool.Policy.Retention || old.Policy.CacheWeight != weight {
		st.retain = orDefault(retain.New(pool.Policy.Retention, defaultMaxIdle, weight))(retain.New("", defaultMaxIdle, weight))
	}
	if isFirst || old.Policy.Concurrency != pool.Policy.Concurrency || old.Engine != pool.Engine {
		engine := pool.Engine
		if pool.Kind != config.PoolModel && engine.MaxBatch == 0 {
			engine.MaxBatch = defaultServiceConcurrency
		}
		st.limit = orDefault(limit.New(pool.Policy.Concurrency, engine))(limit.New("", engine))
	}
}

// orDefault returns a function that returns p or, if err reports an unknown policy name,
// the default policy. Validation rejects unknown names before a configuration is applied,
// so this only guards against a configuration of a newer release.
func orDefault[T any](p T, err error) func(T, error) T {
	return func(fallback T, _ error) T {
		if err != nil {
			return fallback
		}
		return p
	}
}

// maxIdle returns how long a program of a kind may be idle before its pins are
// released.
func (st *settings) maxIdle(kind string) core.Duration {
	if d := st.kinds[kind].MaxIdle.Nanos(); d > 0 {
		return d
	}
	return defaultMaxIdle
}
