package policy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/admit"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/limit"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/order"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/place"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/retain"
)

// Variant is a named set of policies to measure.
type Variant struct {
	Name   string
	Policy config.Policy
	// Baseline marks a variant that the product is compared with.
	Baseline bool
	View     View
	// MinReportAge is the minimum time between two load reports that an entry of
	// a placement-only run applies.
	MinReportAge core.Duration
	// Clairvoyant means that the run knows the shapes in advance and has
	// practically unlimited cache memory.
	Clairvoyant bool
	// PlacementOnly means that the run uses placementEntry in place of the
	// product's entry. This is necessary for views that the product's entry
	// doesn't have.
	PlacementOnly bool
}

// Names of the variants that the goals refer to.
const (
	productName     = "product"
	clairvoyantName = "clairvoyant"
)

// clairvoyantMemoryFactor multiplies the engines' cache in the clairvoyant run.
const clairvoyantMemoryFactor = 16

func baseline(name, placement string) Variant {
	return Variant{Name: name, Baseline: true, Policy: config.Policy{
		Order: "fifo", Placement: placement, Admission: "open",
		Retention: "always", Concurrency: "fixed",
	}}
}

// Variants returns the product's policies, the baselines and the clairvoyant
// variant: shortest remaining program first, with an exact view, and enough cache
// memory that nothing is evicted.
func Variants(d *Deployment) []Variant {
	shortest := config.Policy{Order: "las", Placement: "cost", Admission: "open", Retention: "always", Concurrency: "fixed"}
	return []Variant{
		{Name: productName, Policy: d.ProductPolicy},
		baseline("round_robin_fifo", "round_robin"),
		baseline("least_outstanding_fifo", "least_outstanding"),
		baseline("prefix_hash_fifo", "prefix_hash"),
		baseline("two_choices_fifo", "two_choices"),
		{Name: clairvoyantName, Policy: shortest, View: ViewExact, Clairvoyant: true, PlacementOnly: true},
	}
}

// lateReportPeriod is the period of load reports in the comparison of views.
const lateReportPeriod = 2 * core.Second

// Ablations returns a variant with the product's policies, and one variant for
// each alternative to each part of these policies, with only this part
// replaced. The variants of views follow.
func Ablations(d *Deployment) []Variant {
	all := []Variant{{Name: productName, Policy: d.ProductPolicy}}
	replace := func(name string, edit func(*config.Policy)) {
		p := d.ProductPolicy
		edit(&p)
		if p != d.ProductPolicy {
			all = append(all, Variant{Name: name, Policy: p})
		}
	}
	for _, name := range order.Names() {
		replace("order="+name, func(p *config.Policy) { p.Order = name })
	}
	for _, name := range place.Names() {
		replace("placement="+name, func(p *config.Policy) { p.Placement = name })
	}
	replace("admission=open", func(p *config.Policy) { p.Admission = admit.Open })
	for _, name := range retain.Names() {
		replace("retention="+name, func(p *config.Policy) { p.Retention = name })
	}
	replace("concurrency=fixed", func(p *config.Policy) { p.Concurrency = limit.Fixed })
	return append(all, views(d)...)
}

// views returns two variants for each view, with placement by cost and by two
// choices. Load reports are late in all of them.
func views(d *Deployment) []Variant {
	var all []Variant
	for _, placement := range []string{place.Cost, place.TwoChoices} {
		p := d.ProductPolicy
		p.Placement = placement
		for _, v := range []struct {
			name string
			view View
		}{{"reported", ViewReported}, {"tuned", ViewTuned}, {"corrected", ViewCorrected}, {"exact", ViewExact}} {
			all = append(all, Variant{
				Name: "view=" + v.name + "," + placement, Policy: p,
				View: v.view, MinReportAge: lateReportPeriod, PlacementOnly: true,
			})
		}
	}
	return all
}

func sortedPools[V any](m map[core.Pool]V) []core.Pool {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[core.Pool])
}
