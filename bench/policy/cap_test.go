package policy

import (
	"fmt"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"testing"
)

func TestCap(t *testing.T) {
	for _, n := range []string{"bancarella", "manizales"} {
		d, _ := FindDeployment(n)
		g := newGenerator(d.Kinds, 1)
		sum := map[core.Pool]*work{}
		var dur []float64
		for range capacitySamples {
			dur = append(dur, addWork(sum, d, g.next()))
		}
		for _, p := range d.Pools {
			w := sum[p.Name]
			e := float64(p.Engines) * capacitySamples
			fmt.Printf("%s %s compute=%.1f memory=%.1f\n", n, p.Name, e/w.compute, e*float64(p.Engine.CacheTokens)/w.tokenSeconds)
		}
		fmt.Println(quantile(dur, .5), quantile(dur, .95), quantile(dur, .99))
	}
}
