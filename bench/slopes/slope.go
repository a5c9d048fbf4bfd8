package slopes

import "gonum.org/v1/gonum/stat"

// Slope is one cost measured at several sizes, with the line fitted to it.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of the values, and Per what the sizes count.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Method describes the measurement in a sentence.
	Method string    `json:"how"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	// PerUnit is the slope of the line, and Fixed its value at size zero.
	PerUnit float64 `json:"per_unit"`
	Fixed   float64 `json:"fixed"`
	// Growth is the slope between the last two sizes, divided by the slope
	// between the first two: 1 means linear growth, a higher value faster growth.
	Growth float64 `json:"growth"`
}

// fit computes PerUnit, Fixed and Growth.
func (s *Slope) fit() {
	s.Fixed, s.PerUnit = stat.LinearRegression(s.Sizes, s.Values, nil, false)
	last := len(s.Sizes) - 1
	firstSlope := (s.Values[1] - s.Values[0]) / (s.Sizes[1] - s.Sizes[0])
	lastSlope := (s.Values[last] - s.Values[last-1]) / (s.Sizes[last] - s.Sizes[last-1])
	if firstSlope > 0 {
		s.Growth = lastSlope / firstSlope
	}
}

// add appends a measurement.
func (s *Slope) add(size, value float64) {
	s.Sizes = append(s.Sizes, size)
	s.Values = append(s.Values, value)
}

// Report is the result of all measurements.
type Report struct {
	Seed   uint64  `json:"seed"`
	Slopes []Slope `json:"slopes"`
}

// Slope returns the slope with a name, or nil.
func (r *Report) Slope(name string) *Slope {
	for i := range r.Slopes {
		if r.Slopes[i].Name == name {
			return &r.Slopes[i]
		}
	}
	return nil
}
