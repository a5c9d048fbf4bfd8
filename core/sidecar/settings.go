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
	// defaultRetention keeps an acknowledged answer where the configuration
	// gives no time.
	defaultRetention = 5 * core.Minute
	// defaultMaxIdle ends the pins of a program whose kind gives no idle time.
	defaultMaxIdle = 15 * core.Minute
	// serviceConcurrency is the limit at a plain or tool service whose settings
	// give none.
	serviceConcurrency = 64
)

// settings is the part of the configuration in force that a sidecar uses.
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
	st.choosePolicies(config.Pool{Kind: config.PoolModel})
	return st
}

// onConfig puts a generation in force; an older one changes nothing.
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
		s.settings.choosePolicies(*pool)
	}
}

// choosePolicies replaces the policies whose settings have changed; the others
// keep what they have learned.
func (st *settings) choosePolicies(pool config.Pool) {
	old := st.pool
	st.pool = pool
	first := st.order == nil
	if first || old.Policy.Order != pool.Policy.Order {
		st.order = orDefault(order.New(pool.Policy.Order))(order.New(""))
	}
	if first || old.Policy.Admission != pool.Policy.Admission {
		st.admit = orDefault(admit.New(pool.Policy.Admission))(admit.New(""))
	}
	weight := pool.Policy.CacheWeight
	if first || old.Policy.Retention != pool.Policy.Retention || old.Policy.CacheWeight != weight {
		st.retain = orDefault(retain.New(pool.Policy.Retention, defaultMaxIdle, weight))(retain.New("", defaultMaxIdle, weight))
	}
	if first || old.Policy.Concurrency != pool.Policy.Concurrency || old.Engine != pool.Engine {
		engine := pool.Engine
		if pool.Kind != config.PoolModel && engine.MaxBatch == 0 {
			engine.MaxBatch = serviceConcurrency
		}
		st.limit = orDefault(limit.New(pool.Policy.Concurrency, engine))(limit.New("", engine))
	}
}

// orDefault returns a function that falls back to the default policy where the
// name was unknown. The configuration's check refuses such names before they
// are applied, so the fallback only guards against a newer configuration.
func orDefault[T any](p T, err error) func(T, error) T {
	return func(fallback T, _ error) T {
		if err != nil {
			return fallback
		}
		return p
	}
}

// maxIdle returns how long a program of a kind may rest before its pins end.
func (st *settings) maxIdle(kind string) core.Duration {
	if d := st.kinds[kind].MaxIdle.Nanos(); d > 0 {
		return d
	}
	return defaultMaxIdle
}
