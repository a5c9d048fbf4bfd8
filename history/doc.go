// Package history stores the conversations of programs on the VMs of the engines
// that serve them, so that a caller need not send the complete conversation with
// each call.
//
// Whenever a stored conversation is used, it is checked against the digest chain
// in the record that the program's owner holds. An outdated conversation, one of
// another program or a corrupt one is rejected and never returned.
package history
