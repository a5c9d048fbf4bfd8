//go:build race

package ownership

// raceEnabled says that the race detector is on.
const raceEnabled = true
