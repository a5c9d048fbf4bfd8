// Package sim runs reducers in virtual time. It is a small deterministic
// kernel: an event heap, a network that loses, delays, duplicates and reorders
// messages, and fakes of the platform (key-value service, VM list, targets) at
// the interfaces of the shells. Equal seeds and equal calls give equal runs.
package sim
