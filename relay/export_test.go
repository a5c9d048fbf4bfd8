package relay

// DialFunc opens a connection to a target.
type DialFunc = dialFunc

// WrapDial replaces the function that connects to targets.
func (r *Relay) WrapDial(wrap func(DialFunc) DialFunc) { r.pool.dial = wrap(r.pool.dial) }
