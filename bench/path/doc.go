// Package path measures the overhead of a call through an entry and a sidecar
// compared with the same call made directly to the target: added latency, added
// time to the first token, processor time per call, and the memory of idle
// processes.
package path
