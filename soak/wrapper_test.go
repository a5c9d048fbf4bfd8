package soak

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// wrapper changes what a reducer is given or what it does. Either function may
// be nil.
type wrapper struct {
	inner  core.Reducer
	event  func(ev core.Event) (core.Event, []core.Effect)
	effect func(e core.Effect) core.Effect
	// after runs after each step and returns further effects.
	after func(ev core.Event, now core.Instant) []core.Effect
}

func (w *wrapper) Step(ev core.Event, now core.Instant) []core.Effect {
	var out []core.Effect
	if w.event != nil {
		var extra []core.Effect
		ev, extra = w.event(ev)
		out = append(out, extra...)
	}
	if ev != nil {
		out = append(out, w.change(w.inner.Step(ev, now))...)
	}
	if w.after != nil {
		out = append(out, w.after(ev, now)...)
	}
	return out
}

func (w *wrapper) change(effects []core.Effect) []core.Effect {
	if w.effect == nil {
		return effects
	}
	var out []core.Effect
	for _, e := range effects {
		if e = w.effect(e); e != nil {
			out = append(out, e)
		}
	}
	return out
}

// mutateEntry wraps the entries of the product.
func mutateEntry(wrap func(w *wrapper, self core.Node)) Reducers {
	r := product()
	inner := r.Entry
	r.Entry = func(self core.Node, d core.Domain, seed uint64, rec *invariant.Recorder) core.Reducer {
		w := &wrapper{inner: inner(self, d, seed, rec)}
		wrap(w, self)
		return w
	}
	return r
}

// mutateSidecar wraps the sidecars of the product.
func mutateSidecar(wrap func(w *wrapper, self core.Node)) Reducers {
	r := product()
	inner := r.Sidecar
	r.Sidecar = func(self core.Node, d core.Domain, pool core.Pool, seed uint64, rec *invariant.Recorder) core.Reducer {
		w := &wrapper{inner: inner(self, d, pool, seed, rec)}
		wrap(w, self)
		return w
	}
	return r
}

// message applies a change to every message received.
func message(change func(m core.Message) core.Message) func(core.Event) (core.Event, []core.Effect) {
	return func(ev core.Event) (core.Event, []core.Effect) {
		if r, ok := ev.(core.Recv); ok {
			r.Msg = change(r.Msg)
			return r, nil
		}
		return ev, nil
	}
}

// compose applies two wrappers that change different things.
func compose(a, b func(*wrapper, core.Node)) func(*wrapper, core.Node) {
	return func(w *wrapper, n core.Node) {
		a(w, n)
		b(w, n)
	}
}

func both(wrap func(*wrapper, core.Node)) Reducers {
	return Reducers{Entry: mutateEntry(wrap).Entry, Sidecar: mutateSidecar(wrap).Sidecar}
}
