//go:build !race

package ownership

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = false
