package member

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Register registers the member's metrics.
func (m *Member) Register(reg prometheus.Registerer) {
	gauge := func(name, help string, read func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	counter := func(name, help string, read func() int64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(read()) }))
	}
	gauge("rhubarbsaddle_ledger_records", "Records that the member holds.", func() float64 { return float64(m.stats.records.Load()) })
	gauge("rhubarbsaddle_ledger_programs", "Programs that the member knows.", func() float64 { return float64(m.stats.programs.Load()) })
	gauge("rhubarbsaddle_ledger_ready", "1 if the member's answers count.", func() float64 {
		if m.Ready() {
			return 1
		}
		return 0
	})
	gauge("rhubarbsaddle_ledger_sync_seconds_total", "Time spent in writing and syncing.", func() float64 {
		return time.Duration(m.stats.syncNanos.Load()).Seconds()
	})
	counter("rhubarbsaddle_ledger_syncs_total", "Batches written.", m.stats.syncs.Load)
	counter("rhubarbsaddle_ledger_written_total", "Records written.", m.stats.written.Load)
	counter("rhubarbsaddle_ledger_failed_total", "Writes that the disk refused.", m.stats.failedWrites.Load)
	counter("rhubarbsaddle_ledger_appends_total", "Appends asked for.", m.stats.appends.Load)
	counter("rhubarbsaddle_ledger_chains_total", "Chains of turns read.", m.stats.chains.Load)
	counter("rhubarbsaddle_ledger_abandoned_total", "Appends of peers that disconnected before they were handled.", m.stats.abandoned.Load)
	counter("rhubarbsaddle_ledger_repaired_total", "Records copied because the member had missed them.", m.stats.repaired.Load)
	counter("rhubarbsaddle_ledger_forwards_total", "Appends forwarded to members of the same failure domain.", m.stats.forwards.Load)
	counter("rhubarbsaddle_ledger_missed_forwards_total", "Appends that another member did not forward in time.", m.stats.missedForwards.Load)
	for name, b := range map[string]*backlog{"relays": m.relays, "appends": m.appends, "reads": m.reads, "awaits": m.awaits} {
		gauge("rhubarbsaddle_ledger_"+name+"_in_flight", "Requests in flight ("+name+").", func() float64 { return float64(b.state().requests) })
		gauge("rhubarbsaddle_ledger_"+name+"_in_flight_bytes", "Size of the records of requests in flight ("+name+").", func() float64 { return float64(b.state().bytes) })
		counter("rhubarbsaddle_ledger_"+name+"_rejected_total", "Requests rejected because of too many in flight ("+name+").", func() int64 { return b.state().rejected })
	}
	gauge("rhubarbsaddle_ledger_large_bytes", "Memory that large requests, chains and queued responses are charged for.", func() float64 {
		used, _ := m.memory.state()
		return float64(used)
	})
	counter("rhubarbsaddle_ledger_large_rejected_total", "Large requests and chains rejected for lack of memory.", func() int64 {
		_, rejected := m.memory.state()
		return rejected
	})
	counter("rhubarbsaddle_ledger_stale_views_total", "Calls refused for an old membership.", m.stats.staleViews.Load)
}
