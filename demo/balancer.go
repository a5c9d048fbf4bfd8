package demo

import (
	"math/rand/v2"
	"net/http"
	"net/url"

	"github.com/rhubarbsaddle/rhubarbsaddle/local"
)

// balancer is an http.RoundTripper that stands in for the platform's load
// balancer: it sends each request to a random running entry.
type balancer struct {
	deployment *local.Deployment
	transport  *http.Transport
}

func newBalancer(d *local.Deployment) *balancer {
	return &balancer{
		deployment: d,
		transport:  &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}
}

// RoundTrip sends one request to a running entry, or to the first entry if none
// is running.
func (b *balancer) RoundTrip(req *http.Request) (*http.Response, error) {
	target, err := url.Parse(b.pickEntry())
	if err != nil {
		return nil, err
	}
	out := req.Clone(req.Context())
	out.URL.Host = target.Host
	out.Host = ""
	return b.transport.RoundTrip(out)
}

func (b *balancer) pickEntry() string {
	var up []string
	for _, e := range b.deployment.Entries() {
		if e.IsRunning() {
			up = append(up, e.URL())
		}
	}
	if len(up) == 0 {
		return b.deployment.Entries()[0].URL()
	}
	return up[rand.IntN(len(up))]
}
