// Package chat reads the requests and answers of the chat completions API as
// far as scheduling needs it: the conversation as a chain of digests, lengths
// in tokens, and the usage of an answer. It keeps no text.
package chat
