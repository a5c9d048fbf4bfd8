package policy

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	d, _ := FindDeployment(os.Getenv("TRIAL"))
	cap := d.Capacity()
	fmt.Println("capacity", cap)
	load, _ := strconv.ParseFloat(os.Getenv("LOAD"), 64)
	var wg sync.WaitGroup
	sem := make(chan struct{}, 6)
	vs := Variants(d)
	out := make([]string, len(vs))
	for i, v := range vs {
		if o := os.Getenv("ONLY"); o != "" && o != v.Name {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sem <- struct{}{}
			defer func() { <-sem }()
			at := time.Now()
			r := Run(Spec{Deployment: d, Variant: v, Seed: 1, Load: load, Rate: load * cap})
			out[i] = fmt.Sprintf("%-24s n=%d fin=%d fail=%d unf=%d p50=%.1f p95=%.1f p99=%.1f alone=%.1f waste=%.0f recomp=%.3f refused=%d/%d good=%.2f ev=%d %v %v", r.Variant, r.Programs, r.Finished, r.Failed, r.Unfinished, r.P50, r.P95, r.P99, r.Alone, r.WastedTokenSeconds, r.Recomputed, r.Refused, r.Calls, r.Goodput, r.Events, r.Errors, time.Since(at))
		}()
	}
	wg.Wait()
	for _, s := range out {
		fmt.Println(s)
	}
}
