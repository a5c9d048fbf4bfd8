package policy

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Variant is a set of policies to measure.
type Variant struct {
	Name   string
	Policy config.Policy
	// Baseline marks the policies that the product is compared with.
	Baseline bool
	View     View
	// Clairvoyant runs know the shapes and have memory without end.
	Clairvoyant bool
	// Thin runs have an entry of placement and dispatch alone; it is needed for
	// the views that a real entry cannot have.
	Thin bool
}

// Names of the variants that the comparison refers to.
const (
	productName     = "product"
	clairvoyantName = "clairvoyant"
)

// memoryFactor is the memory of the clairvoyant run over the real one.
const memoryFactor = 16

func baseline(name, placement string) Variant {
	return Variant{Name: name, Baseline: true, Policy: config.Policy{
		Order: "fifo", Placement: placement, Admission: "open",
		Retention: "always", Concurrency: "fixed",
	}}
}

// Variants returns the product's policies, the baselines and the clairvoyant
// run: the shortest remaining program first, on an exact view, with memory in
// which nothing is evicted.
func Variants(d *Deployment) []Variant {
	shortest := config.Policy{Order: "las", Placement: "cost", Admission: "open", Retention: "always", Concurrency: "fixed"}
	return []Variant{
		{Name: productName, Policy: d.Product},
		baseline("round_robin_fifo", "round_robin"),
		baseline("least_outstanding_fifo", "least_outstanding"),
		baseline("prefix_hash_fifo", "prefix_hash"),
		baseline("two_choices_fifo", "two_choices"),
		{Name: clairvoyantName, Policy: shortest, View: ViewExact, Clairvoyant: true, Thin: true},
	}
}

func sortedPools[V any](m map[core.Pool]V) []core.Pool {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[core.Pool])
}
