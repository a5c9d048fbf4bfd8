package path

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// warmUp is the time at the beginning of a phase in which calls are not
	// measured.
	warmUp = time.Second
	// callTimeout bounds one call.
	callTimeout = 10 * time.Second
	// maxLatency is the largest latency that a histogram can record.
	maxLatency = int64(time.Minute)
	// significantDigits is the precision of a histogram.
	significantDigits = 3
)

func newClient() *http.Client {
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1024,
			DisableCompression:  true,
		},
	}
}

// timing holds the latencies of one call.
type timing struct {
	total time.Duration
	// firstByte is the time to the first byte of the body.
	firstByte time.Duration
}

// callFunc makes the nth call, to a base URL.
type callFunc func(ctx context.Context, base string, n int) (timing, error)

// measurement collects the timings of one phase.
type measurement struct {
	mu        sync.Mutex
	total     *histogram
	firstByte *histogram
	sent      int
}

type histogram struct {
	values *hdrhistogram.Histogram
	failed int
}

func newHistogram() *histogram {
	return &histogram{values: hdrhistogram.New(1, maxLatency, significantDigits)}
}

func (m *measurement) add(t timing, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.total.failed++
		m.firstByte.failed++
		return
	}
	// No error can occur: callTimeout is below maxLatency.
	_ = m.total.values.RecordValue(int64(t.total))
	_ = m.firstByte.values.RecordValue(int64(t.firstByte))
}

// runLoad makes calls in a Poisson process at the configured rate, and waits for
// all answers.
func (b *bench) runLoad(ctx context.Context, bases []string, call callFunc) *measurement {
	rng := rand.New(rand.NewPCG(b.options.Seed, 1))
	m := &measurement{total: newHistogram(), firstByte: newHistogram()}
	var pending sync.WaitGroup
	began := time.Now()
	sendAt := began
	for n := 0; ; n++ {
		sendAt = sendAt.Add(time.Duration(rng.ExpFloat64() / b.options.Rate * float64(time.Second)))
		if sendAt.Sub(began) > warmUp+b.options.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(sendAt))
		isMeasured := sendAt.Sub(began) > warmUp
		m.sent++
		pending.Go(func() {
			t, err := call(ctx, bases[n%len(bases)], n)
			if isMeasured {
				m.add(t, err)
			}
		})
	}
	pending.Wait()
	return m
}

func (b *bench) callService(ctx context.Context, base string, n int) (timing, error) {
	key := fmt.Sprintf("%d-%s-%d", b.options.Seed, base, n)
	return b.call(ctx, base+servicePath+"x", key, "{}")
}

// modelBody requests a short streamed answer.
const modelBody = `{"model":"` + modelName + `","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"call %d of the benchmark"}]}`

func (b *bench) callModel(ctx context.Context, base string, n int) (timing, error) {
	return b.call(ctx, base+"/v1/chat/completions", "", fmt.Sprintf(modelBody, n))
}

func (b *bench) call(ctx context.Context, url, key, body string) (timing, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	began := time.Now()
	resp, err := b.client.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	var firstByte [1]byte
	if _, err := io.ReadFull(resp.Body, firstByte[:]); err != nil {
		return timing{}, err
	}
	t := timing{firstByte: time.Since(began)}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return timing{}, err
	}
	t.total = time.Since(began)
	if resp.StatusCode != http.StatusOK {
		return timing{}, fmt.Errorf("status %s", resp.Status)
	}
	return t, nil
}

func (h *histogram) quantiles() Quantiles {
	return Quantiles{
		Calls:  int(h.values.TotalCount()),
		Failed: h.failed,
		P50:    time.Duration(h.values.ValueAtQuantile(50)),
		P99:    time.Duration(h.values.ValueAtQuantile(99)),
	}
}

func compare(direct, proxied *histogram) Comparison {
	d, t := direct.quantiles(), proxied.quantiles()
	return Comparison{Direct: d, Proxied: t, AddedP50: t.P50 - d.P50, AddedP99: t.P99 - d.P99}
}
