package burn

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

var end = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// set has one program kind with two objectives: 9 of 10 calls have their first token
// within a second, and 5 of 10 cached tokens are reused.
var set = &config.Set{
	Deployment: "d",
	Programs: []config.ProgramKind{{
		Name: "haggle",
		Objectives: []config.Objective{
			{Measure: "first_token", Below: config.Duration(time.Second), Share: 0.9},
			{Measure: "wasted_cache", Share: 0.5},
		},
	}},
}

// firstTokenAt returns an observation of the time to the first token.
func firstTokenAt(beforeEnd time.Duration, seconds float64) observe.Observation {
	return observe.Observation{
		Time: end.Add(-beforeEnd), Measure: observe.FirstToken, Kind: "haggle",
		Account: "a", Target: "s1", Domain: "d1", Value: seconds,
	}
}

func TestReportAppliesObjectiveBoundPerAccount(t *testing.T) {
	var observations []observe.Observation
	for range 18 {
		observations = append(observations, firstTokenAt(time.Hour, 1))
	}
	old, recent := firstTokenAt(2*time.Hour, 1.5), firstTokenAt(0, 1.5)
	old.Account, old.Target, old.Domain = "b", "s2", "d2"
	recent.Account, recent.Target = "b", "s2"
	observations = append(observations, old, recent)
	r := New(set, observations, Options{})
	require.Len(t, r.Objectives, 3, "one for all accounts and one for each")
	all := r.Objectives[0]
	require.Empty(t, all.Account)
	require.Equal(t, 20, all.Events)
	require.InDelta(t, 0.9, all.GoodShare, 1e-9)
	require.InDelta(t, 0.0, all.BudgetLeft, 1e-9)
	require.InDelta(t, 1.5, all.P95Seconds, 1e-9)
	require.Equal(t, []Contributor{{Name: "s2", BadShare: 1, ErrorRate: 1}}, all.Targets)
	require.Len(t, all.Domains, 2)
	require.InDelta(t, 0.5, all.Domains[0].BadShare, 1e-9)
	b := r.Objectives[2]
	require.EqualValues(t, "b", b.Account)
	require.InDelta(t, -9.0, b.BudgetLeft, 1e-9)
	require.Equal(t, end.Add(-2*time.Hour), r.Start)
	require.Equal(t, end, r.End)
}

func TestAlertsNeedBothWindows(t *testing.T) {
	// With a period of 30 days, the fast windows are 1 h and 5 min. With a share of
	// 0.9, a window of only bad events has a burn rate of 10; the slow threshold is 6.
	tests := []struct {
		name       string
		bad        time.Duration
		good       time.Duration
		slowRaised bool
	}{
		{"bad all the time", 10 * time.Minute, 0, true},
		{"ended before the short window", 5 * time.Hour, time.Minute, false},
		{"too recent for the long window", time.Minute, 5 * time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var observations []observe.Observation
			for range 10 {
				observations = append(observations, firstTokenAt(tt.bad, 2))
			}
			for range 10 {
				if tt.good > 0 {
					observations = append(observations, firstTokenAt(tt.good, 0.5))
				}
			}
			r := New(set, observations, Options{End: end})
			fast, slow := r.Objectives[0].Alerts[0], r.Objectives[0].Alerts[1]
			require.Equal(t, 3600.0, fast.LongSeconds)
			require.Equal(t, 300.0, fast.ShortSeconds)
			require.Equal(t, 21600.0, slow.LongSeconds)
			require.False(t, fast.Raised, "a share of 0.9 cannot have a burn rate of 14.4")
			require.Equal(t, tt.slowRaised, slow.Raised)
		})
	}
}

func TestFastAlertIsRaised(t *testing.T) {
	strict := *set
	strict.Programs = []config.ProgramKind{{
		Name:       "haggle",
		Objectives: []config.Objective{{Measure: "first_token", Below: config.Duration(time.Second), Share: 0.99}},
	}}
	observations := []observe.Observation{firstTokenAt(50*time.Minute, 0.5), firstTokenAt(time.Minute, 2)}
	fast := New(&strict, observations, Options{End: end}).Objectives[0].Alerts[0]
	require.InDelta(t, 50.0, fast.LongRate, 1e-9)
	require.InDelta(t, 100.0, fast.ShortRate, 1e-9)
	require.True(t, fast.Raised)
}

func TestWastedCacheIsWeightedByTokens(t *testing.T) {
	observations := []observe.Observation{
		{Time: end, Measure: observe.WastedCache, Kind: "haggle", Value: 900, Good: true},
		{Time: end, Measure: observe.WastedCache, Kind: "haggle", Value: 100},
	}
	r := New(set, observations, Options{})
	require.Len(t, r.Objectives, 1)
	require.InDelta(t, 0.9, r.Objectives[0].GoodShare, 1e-9)
	require.InDelta(t, 0.8, r.Objectives[0].BudgetLeft, 1e-9)
}

func TestObservationsOutsidePeriodOrObjectivesAreIgnored(t *testing.T) {
	observations := []observe.Observation{
		firstTokenAt(25*time.Hour, 2),
		firstTokenAt(-time.Second, 2),
		{Time: end, Measure: observe.Refused, Kind: "haggle"},
		{Time: end, Measure: observe.FirstToken, Kind: "other", Value: 9},
	}
	r := New(set, observations, Options{Period: 24 * time.Hour, End: end})
	require.Empty(t, r.Objectives)
	require.NotPanics(t, func() { New(set, nil, Options{}) })
}

func TestOutputFormats(t *testing.T) {
	var observations []observe.Observation
	for i := range 100 {
		observations = append(observations, firstTokenAt(time.Duration(i)*time.Minute, float64(i%12)/10))
	}
	observations[3].Account = `<script>"x`
	r := New(set, observations, Options{})
	var table, page, data bytes.Buffer
	require.NoError(t, r.WriteTable(&table))
	require.Contains(t, table.String(), "haggle")
	require.Contains(t, table.String(), "first_token")
	require.NoError(t, r.WriteJSON(&data))
	var back Report
	require.NoError(t, json.Unmarshal(data.Bytes(), &back))
	require.Equal(t, r, &back)
	require.NoError(t, r.WriteHTML(&page))
	require.Equal(t, len(r.Objectives), strings.Count(page.String(), "<svg"))
	for _, outside := range []string{"http://", "https://", "<script", "<link", "src="} {
		clean := strings.ReplaceAll(page.String(), "http://www.w3.org/", "")
		require.NotContains(t, clean, outside, "the page is self-contained")
	}
	require.NoError(t, New(set, nil, Options{}).WriteHTML(&page))
}
