//go:build !race

package ledger

// raceEnabled says that the race detector is on.
const raceEnabled = false
