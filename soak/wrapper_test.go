package soak

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// wrapper changes the events that a reducer handles or the effects that it
// returns. Each of the functions may be nil.
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
		out = append(out, w.changeEffects(w.inner.Step(ev, now))...)
	}
	if w.after != nil {
		out = append(out, w.after(ev, now)...)
	}
	return out
}

func (w *wrapper) changeEffects(effects []core.Effect) []core.Effect {
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

// wrapEntry returns the product's reducers with every entry wrapped.
func wrapEntry(wrap func(w *wrapper, self core.Node)) Reducers {
	r := product()
	inner := r.Entry
	r.Entry = func(self core.Node, d core.Domain, seed uint64, rec *invariant.Recorder) core.Reducer {
		w := &wrapper{inner: inner(self, d, seed, rec)}
		wrap(w, self)
		return w
	}
	return r
}

// wrapSidecar returns the product's reducers with every sidecar wrapped.
func wrapSidecar(wrap func(w *wrapper, self core.Node)) Reducers {
	r := product()
	inner := r.Sidecar
	r.Sidecar = func(self core.Node, d core.Domain, pool core.Pool, seed uint64, rec *invariant.Recorder) core.Reducer {
		w := &wrapper{inner: inner(self, d, pool, seed, rec)}
		wrap(w, self)
		return w
	}
	return r
}

// onMessage applies a change to every message that the reducer receives.
func onMessage(change func(m core.Message) core.Message) func(core.Event) (core.Event, []core.Effect) {
	return func(ev core.Event) (core.Event, []core.Effect) {
		if r, ok := ev.(core.Recv); ok {
			r.Msg = change(r.Msg)
			return r, nil
		}
		return ev, nil
	}
}

// compose applies two wrappers. They must set different functions.
func compose(a, b func(*wrapper, core.Node)) func(*wrapper, core.Node) {
	return func(w *wrapper, n core.Node) {
		a(w, n)
		b(w, n)
	}
}

func wrapBoth(wrap func(*wrapper, core.Node)) Reducers {
	return Reducers{Entry: wrapEntry(wrap).Entry, Sidecar: wrapSidecar(wrap).Sidecar}
}
