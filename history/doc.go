// Package history stores the conversations of programs on the VMs of the engines
// that serve them, so that a caller need not send the complete conversation with
// each call.
//
// Whenever a stored conversation is used, it is checked against the digest chain
// in the owner's record of the program. A conversation that is outdated or corrupt,
// or that belongs to another program, is never returned.
package history
