package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/quota"
)

// BenchmarkDecision measures decisions with a grant in hand, among 1,000 accounts.
func BenchmarkDecision(b *testing.B) {
	h, now, q := quota.New(1), time.Unix(1000, 0), catalog.Quota{PerSecond: 1e6, Burst: 1e6}
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
		d := h.Arrive(names[i], q, 1, now)
		h.RecordGrant(d.Ask, loadboard.QuotaGrant{Granted: 1 << 40}, now)
	}
	took := make([]time.Duration, 0, b.N)
	for i := 0; b.Loop(); i++ {
		began := time.Now()
		h.Arrive(names[i%len(names)], q, 1, now)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
}

// BenchmarkMessages reports the asks a second for an account with 100 requests a second and for
// one with 2, within the limit and at eight times it.
func BenchmarkMessages(b *testing.B) {
	const duration = 20 * time.Second
	for _, entries := range []int{20, 60, 300} {
		for _, perSecond := range []float64{2, 100} {
			for _, load := range []float64{0.6, 8} {
				b.Run(fmt.Sprintf("entries=%d/rate=%v/load=%v", entries, perSecond, load), func(b *testing.B) {
					for b.Loop() {
						s := newSimulation(entries, catalog.Quota{PerSecond: perSecond, Burst: perSecond})
						s.run(duration, func(int, time.Duration) float64 { return load * perSecond / float64(entries) })
						b.ReportMetric(float64(s.asks)/duration.Seconds(), "asks/s")
						b.ReportMetric(float64(len(s.admitted))/duration.Seconds(), "admitted/s")
					}
				})
			}
		}
	}
}
