// Package sim runs reducers (the pure state machines of package core) in
// virtual time. It is a deterministic discrete-event simulator: an event heap,
// a network that loses, delays, duplicates and reorders messages, and fakes of
// the platform (key-value service, VM list, targets) in place of the daemons'
// runtime. The same seed and the same calls give the same run.
package sim
