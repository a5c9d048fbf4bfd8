package burn

import (
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// Report is the state of all objectives.
type Report struct {
	Deployment string      `json:"deployment"`
	Period     string      `json:"period"`
	Start      time.Time   `json:"start"`
	End        time.Time   `json:"end"`
	Objectives []Objective `json:"objectives"`
}

// Objective is the state of one objective, for one account or for all accounts.
type Objective struct {
	Kind string `json:"program_kind"`
	// Account is empty in the summary of all accounts.
	Account core.Account    `json:"account,omitempty"`
	Measure observe.Measure `json:"measure"`
	// BelowSeconds is the upper bound of a good event, for measures of time.
	BelowSeconds float64 `json:"below_seconds,omitempty"`
	Share        float64 `json:"share"`
	Events       int     `json:"events"`
	// GoodShare is the share of good events, by weight.
	GoodShare float64 `json:"good_share"`
	// P95Seconds is the 95th percentile, for measures of time.
	P95Seconds float64 `json:"p95_seconds,omitempty"`
	// BudgetLeft is the remaining share of the error budget, negative if it is
	// overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alerts     []Alert `json:"alerts"`
	// Targets and Domains are the targets and the failure domains with the most bad
	// events, by weight.
	Targets []Contributor `json:"targets"`
	Domains []Contributor `json:"domains"`
	Points  []Point       `json:"points"`
}

// Alert is the state of one alert: the burn rates of its two windows and its
// threshold.
type Alert struct {
	Name          string  `json:"name"`
	LongSeconds   float64 `json:"long_window_seconds"`
	ShortSeconds  float64 `json:"short_window_seconds"`
	LongRate      float64 `json:"long_burn_rate"`
	ShortRate     float64 `json:"short_burn_rate"`
	ThresholdRate float64 `json:"threshold_burn_rate"`
	Raised        bool    `json:"raised"`
}

// Contributor is a target or a failure domain with bad events.
type Contributor struct {
	Name string `json:"name"`
	// BadShare is the contributor's share of all bad events. ErrorRate is the share
	// of bad events among the contributor's events.
	BadShare  float64 `json:"bad_share"`
	ErrorRate float64 `json:"error_rate"`
}

// Point is the burn rate of one part of the reported time. The part ends at Time.
type Point struct {
	Time time.Time `json:"time"`
	Rate float64   `json:"burn_rate"`
}

// Raised reports whether any alert of the objective is raised.
func (o *Objective) Raised() bool {
	return slices.ContainsFunc(o.Alerts, func(a Alert) bool { return a.Raised })
}
