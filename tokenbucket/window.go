package tokenbucket

import "time"

// windowCells is the number of cells into which a Window divides its length.
const windowCells = 50

// Window is a token bucket that forgets what was taken before its length: in any span of time up
// to that length, at most capacity + rate x span tokens are taken. A Bucket bounds longer spans
// too, so that in the long run it admits the rate only; a Window admits capacity + rate x length
// in each length. The rate and the capacity are the caller's.
//
// Invariant: what is taken before a cell has ended counts for at least the length after it.
type Window struct {
	length time.Duration
	// excess is by how many tokens what was taken since a start exceeds the rate: the greatest
	// of the starts within a cell, by the cell's number modulo that of cells. The last one is the
	// current cell.
	excess [windowCells + 1]float64
	at     time.Time
}

// NewWindow returns a full window.
func NewWindow(length time.Duration, now time.Time) Window { return Window{length: length, at: now} }

// Used returns the tokens that are missing until the window is full.
func (w *Window) Used(perSecond float64, now time.Time) float64 {
	w.advance(perSecond, now)
	return w.greatest(now)
}

// UsedAfter returns the tokens that are missing of those that can be taken until a time, beyond
// the capacity and what the rate adds until then.
func (w *Window) UsedAfter(d time.Duration, perSecond float64, now time.Time) float64 {
	w.advance(perSecond, now)
	return w.greatest(now.Add(d))
}

// greatest returns the greatest excess of the cells that still count at a time.
func (w *Window) greatest(at time.Time) float64 {
	used := 0.0
	for cell := w.cell(at) - windowCells; cell <= w.cell(w.at); cell++ {
		used = max(used, w.excess[index(cell)])
	}
	return used
}

// Wait returns the time until the window has the tokens, if its capacity is greater.
func (w *Window) Wait(tokens, capacity, perSecond float64, now time.Time) time.Duration {
	w.advance(perSecond, now)
	wait := time.Duration(0)
	current := w.cell(now)
	for cell := current - windowCells; cell <= current; cell++ {
		refill := Period(w.excess[index(cell)]+tokens-capacity, perSecond)
		wait = max(wait, min(refill, w.forgottenAt(cell).Sub(now)))
	}
	return wait
}

// Take takes tokens, also if the window has too few.
func (w *Window) Take(tokens, perSecond float64, now time.Time) {
	w.advance(perSecond, now)
	for i := range w.excess {
		w.excess[i] += tokens
	}
}

// Return puts tokens back. A full window stays full.
func (w *Window) Return(tokens float64) {
	for i := range w.excess {
		w.excess[i] = max(0, w.excess[i]-tokens)
	}
}

// SetUsed sets the tokens that are missing until the window is full.
func (w *Window) SetUsed(tokens float64, now time.Time) {
	w.excess = [windowCells + 1]float64{}
	w.at = now
	w.excess[index(w.cell(now))] = max(0, tokens)
}

// RaiseUsed raises the tokens that are missing to a number if they are fewer. Unlike those taken
// before, these count from now on.
func (w *Window) RaiseUsed(tokens, perSecond float64, now time.Time) {
	w.advance(perSecond, now)
	i := index(w.cell(now))
	w.excess[i] = max(w.excess[i], tokens)
}

// advance brings the excess up to a time.
func (w *Window) advance(perSecond float64, now time.Time) {
	elapsed := now.Sub(w.at)
	if elapsed <= 0 {
		return
	}
	current := w.cell(now)
	for cell := max(w.cell(w.at)+1, current-windowCells); cell <= current; cell++ {
		w.excess[index(cell)] = 0
	}
	for i := range w.excess {
		w.excess[i] = max(0, w.excess[i]-perSecond*elapsed.Seconds())
	}
	w.at = now
}

func (w *Window) cell(at time.Time) int64 { return at.UnixNano() / int64(w.length/windowCells) }

// forgottenAt returns when a cell does not count any more.
func (w *Window) forgottenAt(cell int64) time.Time {
	return time.Unix(0, (cell+windowCells+1)*int64(w.length/windowCells))
}

func index(cell int64) int { return int(cell % (windowCells + 1)) }
