package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// BenchmarkPick measures the choice of an engine for a turn with a shared prefix, with
// loaded engines whose caches are known.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 60, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			now := start
			for i := range 2 * n {
				q := query(sharedPrefix(i%8), sessionPart(fmt.Sprint(i)))
				choice, _ := f.Pick(q, now)
				f.RecordStart(choice.Target.TargetKey, q.Prompt, now)
				f.RecordLoad(choice.Target.TargetKey, fleet.Load{Running: 3, Waiting: 1, Slots: 4}, now)
			}
			f.RecordOthers(callsAt(n, 3), now)
			q := query(sharedPrefix(1), sessionPart("a"))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				if _, ok := f.Pick(q, now); !ok {
					b.Fatal("no target")
				}
			}
		})
	}
}
