// Package front is the HTTP front end of an entry for callers: the chat
// completions API, and tool and plain services under their path prefixes.
//
// It converts a request to a core.Call, passes it to a Backend and streams the
// answer back. The end of an answer is sent to the caller only after the
// program's owner has recorded the call.
package front
