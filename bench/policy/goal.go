package policy

// Bounds of the goals, and the loads at which they are evaluated.
const (
	latencyGain     = 1.5
	wasteGain       = 3
	noRegression    = 1
	clairvoyantGap  = 1.5
	overloadGoodput = 0.95
	goalLoad        = 0.9
	fullLoad        = 1.0
	overload        = 1.3
)

// goals compares the product with the best baseline of each figure. The product
// must reach a gain in the figure that the deployment prioritizes, and must not be
// worse in the other.
func goals(d *Deployment, variants []Variant, all []Row) []Goal {
	list := []Goal{}
	product := findRow(all, productName, goalLoad)
	if product == nil {
		return list
	}
	latency, waste := float64(latencyGain), float64(noRegression)
	if d.PrioritizesWaste {
		latency, waste = noRegression, wasteGain
	}
	p95 := func(r *Row) float64 { return r.P95 }
	wasted := func(r *Row) float64 { return r.WastedTokenSeconds }
	if best := bestBaseline(variants, all, p95); best != nil {
		list = append(list, atLeast("p95 at 90% load, times lower", best.P95/product.P95, latency, best.Variant))
	}
	if best := bestBaseline(variants, all, wasted); best != nil && product.WastedTokenSeconds > 0 {
		ratio := best.WastedTokenSeconds / product.WastedTokenSeconds
		list = append(list, atLeast("wasted cache at 90% load, times lower", ratio, waste, best.Variant))
	}
	if c := findRow(all, clairvoyantName, goalLoad); c != nil {
		gap := product.P95 / c.P95
		list = append(list, Goal{"p95 at 90% load over clairvoyant", gap, clairvoyantGap, false, gap <= clairvoyantGap, c.Variant})
	}
	full, over := findRow(all, productName, fullLoad), findRow(all, productName, overload)
	if full != nil && over != nil {
		list = append(list, atLeast("goodput at 130% over that at 100%", over.Goodput/full.Goodput, overloadGoodput, productName))
	}
	return list
}

func atLeast(name string, value, bound float64, against string) Goal {
	return Goal{name, value, bound, true, value >= bound, against}
}

func findRow(all []Row, variant string, load float64) *Row {
	for i := range all {
		if all[i].Variant == variant && all[i].Load == load && !all[i].Faults {
			return &all[i]
		}
	}
	return nil
}

// bestBaseline returns the baseline with the lowest figure at goalLoad.
func bestBaseline(variants []Variant, all []Row, figure func(*Row) float64) *Row {
	var best *Row
	for _, v := range variants {
		r := findRow(all, v.Name, goalLoad)
		if !v.Baseline || r == nil {
			continue
		}
		if best == nil || figure(r) < figure(best) {
			best = r
		}
	}
	return best
}
