// Package core defines the identifiers, messages, events and effects that the
// reducers of all roles share.
//
// A reducer is a deterministic state machine: Step(event, now) changes its state
// and returns effects as data. It reads no clock, performs no I/O and draws no
// unseeded random numbers. A daemon's runtime feeds it events and runs its effects;
// the tests, the model checker and the experiment tool do so in virtual time.
//
// An entry accepts callers' requests and owns slots of programs. For one call, the
// ingress is the entry that accepted the request, the owner is the entry that owns
// the program's slot, and the replicas hold synchronous copies of that slot. A
// sidecar runs the call's attempts at its target.
package core
