// Package entry is the shell of the entry role: it serves callers, runs the
// effects of the reducer in core/entry, and reads answers from sidecars.
package entry
