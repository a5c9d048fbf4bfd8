package resource

import "context"

// holderKey is the context key of a request's holder.
type holderKey struct{}

// NewContext returns a context that carries the holder.
func NewContext(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// FromContext returns the holder that ctx carries, or nil.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}
