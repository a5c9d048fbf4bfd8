// Package path measures what the way through an entry and a sidecar costs over
// the same call made straight to the target: added latency, added time to the
// first token, processor time for a call, and the memory of idle processes.
package path
