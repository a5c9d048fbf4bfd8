// Package chat parses the requests and answers of the chat completions API as far
// as scheduling needs them: the conversation as a chain of digests, lengths in
// tokens, and the usage of an answer.
package chat
