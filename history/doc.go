// Package history keeps the conversations of programs beside the engines that
// serve them, so that a caller need not send the whole conversation with each
// call.
//
// A body is checked against the digest chain of its program's home record
// whenever it is used, so that an older body, another program's or a corrupted
// one is refused, never served.
package history
