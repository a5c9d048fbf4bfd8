package soak

import (
	"maps"
	"slices"
	"strings"
)

// reasonCounts returns the refusals by outcome and reason.
func (o *observer) reasonCounts() []ReasonCount {
	keys := slices.SortedFunc(maps.Keys(o.reasons), func(a, b ReasonCount) int {
		return strings.Compare(a.Outcome+string(a.Reason), b.Outcome+string(b.Reason))
	})
	for i := range keys {
		keys[i].Count = o.reasons[keys[i]]
	}
	return keys
}
