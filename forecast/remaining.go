package forecast

// Remaining returns how much is expected to be left of a call with an estimate e of which done
// has been done. A call that has done more than the mean is probably one of the large ones, and
// one beyond the upper quantile is expected to go on for as long as it has been beyond the mean.
func (e Estimate) Remaining(done float64) float64 {
	if done >= e.Mean {
		return max(e.Upper, done) - e.Mean
	}
	if e.Mean <= 0 {
		return 0
	}
	return max(e.Mean-done, done/e.Mean*(e.Upper-e.Mean))
}
