// Package core holds the identifiers, messages, events and effects that the
// reducers of all roles share.
//
// A reducer is a pure function of its state: Step(event, now) returns effects
// as data. It reads no clock, performs no I/O and draws no unseeded random
// number. The shells run the effects; the tests, the model checker and the
// experiment tool run them in virtual time instead.
package core
