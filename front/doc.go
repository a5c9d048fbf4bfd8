// Package front is the callers' side of an entry: the chat completions API,
// and the tool and plain services under their prefixes, over HTTP.
//
// It turns a request into a core.Call, passes it to an Exchange, and passes the
// answer back. The end of an answer reaches the caller only after the home of
// the program has recorded the call.
package front
