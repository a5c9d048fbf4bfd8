// Package recovery measures how long programs take to recover from a failure. It
// runs the product's reducers in virtual time, injects one failure into a cluster
// under steady load, and measures the time to the next answer of each affected
// program.
package recovery
