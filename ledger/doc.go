// Package ledger stores durably what programs must not lose: their token spending
// and the turns of their conversations. Records are immutable facts that are only
// added, so any majority of the members can serve without a leader, an ordered log or
// elections: two copies are merged by union, and any two majorities share a member,
// which sees both of two concurrent reservations.
//
// This package is pure logic without I/O. Package segment stores records on disk,
// package member serves them, and package quorum is the client.
package ledger
