// Package ledger keeps what programs must not lose: their spending and the turns
// of their conversations. Its records are facts that only accumulate, so any
// majority of the members serves, without a leader, a log order or elections: two
// copies are merged by union, and two racing reservations meet in at least one
// member of every two majorities.
//
// The package is pure. Package segment stores records, package member serves
// them, package quorum is the client.
package ledger
