package capacity

import "fmt"

// Row is one cost of one role, a line of the table.
type Row struct {
	Role     string
	Resource string
	// Value is the cost at the given size, in Unit.
	Value float64
	Unit  string
	// Limit is the upper bound of the cost; zero means that there is none.
	Limit float64
	// Calculation shows how Value follows from the slopes.
	Calculation string
	// Mechanism names what causes or bounds the cost; Implemented is false if the
	// mechanism is only planned.
	Mechanism   string
	Implemented bool
}

// Fits reports whether the cost is within its limit.
func (r Row) Fits() bool { return r.Limit == 0 || r.Value <= r.Limit }

// verdict returns the text of the row's last column.
func (r Row) verdict() string {
	state := "on paper"
	if r.Implemented {
		state = "built"
	}
	switch {
	case r.Limit == 0:
		return state
	case r.Fits():
		return "fits, " + state
	}
	return "**does not fit**, " + state
}

// markdown returns the row as a line of a Markdown table.
func (r Row) markdown() string {
	limit := "-"
	if r.Limit > 0 {
		limit = fmt.Sprintf("%.4g %s", r.Limit, r.Unit)
	}
	return fmt.Sprintf("| %s | %s | %.4g %s | %s | %s | %s | %s |",
		r.Role, r.Resource, r.Value, r.Unit, limit, r.Calculation, r.Mechanism, r.verdict())
}
