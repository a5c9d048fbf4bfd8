package loadboard

import "math"

// workSum is the work left of the calls whose process reports it, in milliseconds, and their
// number. Earlier versions report calls only.
type workSum struct{ ms, calls int64 }

// plus adds sign times a report.
func (w workSum) plus(c Count, sign int64) workSum {
	if c.WorkMS == 0 {
		return w
	}
	return workSum{ms: w.ms + sign*int64(c.WorkMS), calls: w.calls + sign*int64(c.Count)}
}

// withWork adds the work to counts of calls. Calls without a report are assumed to have as much
// work left as the others at their target.
func (b *Board) withWork(calls []Count) []Count {
	for i, c := range calls {
		if w := b.work[c.Target]; w.calls > 0 {
			calls[i].WorkMS = uint32(min(math.MaxUint32, max(1, w.ms*int64(c.Count)/w.calls)))
		}
	}
	return calls
}
