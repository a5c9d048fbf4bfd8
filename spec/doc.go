// Package spec contains the specifications of the core protocols and the searches
// that check them: spec/ownership and spec/ledger specify protocols, spec/search
// explores the states of a specification exhaustively, and spec/direct searches
// the real reducers.
package spec
