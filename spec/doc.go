// Package spec is the parent of the specification of the core protocol and of
// the explicit-state search that checks it. Package spec/search explores a
// transition system exhaustively; package spec/ownership is the protocol.
package spec
