// Package soak runs the real reducers of entries and sidecars in virtual time
// under seeded combinations of faults. An observer that sees every execution,
// answer and message checks the product's invariants. A failing seed replays
// exactly.
package soak
