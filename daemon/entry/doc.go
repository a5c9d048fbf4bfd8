// Package entry is the runtime of the entry role. It serves callers, runs the effects
// of the reducer in core/entry, and reads answers from sidecars.
package entry
