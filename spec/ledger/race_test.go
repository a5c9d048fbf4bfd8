//go:build race

package ledger

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
