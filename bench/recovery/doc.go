// Package recovery measures how fast programs go on after a failure. It runs
// the real reducers in virtual time, injects one failure into a cluster under
// steady load, and watches the programs that the failure hits.
package recovery
