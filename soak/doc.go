// Package soak runs the real reducers of all roles in virtual time under
// seeded faults of all kinds, in combination, and checks the product's promises
// with an observer that sees every execution, answer and message. A failing
// seed replays exactly.
package soak
