package path

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/local"
)

// Options are the settings of a run.
type Options struct {
	// Rate is the number of calls per second; calls don't wait for earlier
	// answers.
	Rate float64
	// Duration is the length of each of the four measurements, without warm-up.
	Duration time.Duration
	// Binary is the executable of the daemons, which run as separate processes.
	// If it is empty they run in this process, and memory and processor time are
	// not measured.
	Binary string
	Dir    string
	Seed   uint64
	// Progress, if set, receives a line for each phase.
	Progress io.Writer
}

// Result holds the measurements.
type Result struct {
	Rate float64 `json:"rate"`
	Seed uint64  `json:"seed"`
	// Service compares plain service calls, Model streamed model calls.
	Service Comparison `json:"service"`
	Model   Comparison `json:"model"`
	// FirstToken compares the times to the first byte of a streamed answer.
	FirstToken Comparison `json:"first_token"`
	// CallsPerCore is the number of service calls per second of the daemons'
	// processor time, entries and sidecars together.
	CallsPerCore float64 `json:"calls_per_core"`
	// EntryIdleBytes and SidecarIdleBytes are the resident bytes of the largest
	// process of each role before any call.
	EntryIdleBytes   int64 `json:"entry_idle_bytes"`
	SidecarIdleBytes int64 `json:"sidecar_idle_bytes"`
}

// Comparison compares calls through an entry and a sidecar with calls made
// directly to the target.
type Comparison struct {
	Direct  Quantiles `json:"direct"`
	Proxied Quantiles `json:"through"`
	// AddedP50 and AddedP99 are the differences of the quantiles.
	AddedP50 time.Duration `json:"added_p50_ns"`
	AddedP99 time.Duration `json:"added_p99_ns"`
}

// Quantiles describe the latencies of one measurement.
type Quantiles struct {
	Calls  int           `json:"calls"`
	Failed int           `json:"failed"`
	P50    time.Duration `json:"p50_ns"`
	P99    time.Duration `json:"p99_ns"`
}

const (
	benchKey = "bench-key"
	// programBudget is the budget of a program in tokens.
	programBudget = 1_000_000
	modelPool     = "model"
	modelName     = "bench"
	servicePool   = "service"
	servicePath   = "/service/"
	startTimeout  = 20 * time.Second
	// engineStep is the duration of a step of the engines.
	engineStep = time.Millisecond
	// targetsPerPool is the number of targets of each pool.
	targetsPerPool = 4
	// settleTime is the delay before the idle memory is measured.
	settleTime = time.Second
)

// benchSet returns the configuration of a deployment with two failure domains, so
// that every write is replicated.
func benchSet() *config.Set {
	// Direct calls are spread evenly over the targets; round robin does the same
	// for the proxied calls.
	spread := config.Policy{Placement: "round_robin"}
	digest := sha256.Sum256([]byte(benchKey))
	set := &config.Set{
		Deployment: "bench",
		Domains:    []config.Domain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Ownership:  config.Ownership{Slots: 64, Replicas: 1},
		Pools: []config.Pool{
			{Name: modelPool, Kind: config.PoolModel, Model: modelName, Engine: config.Engine{MaxBatch: 64}, Policy: spread},
			{Name: servicePool, Kind: config.PoolService, Policy: spread},
		},
		Programs: []config.ProgramKind{{Name: "bench", Pools: []string{modelPool, servicePool}, BudgetTokens: programBudget}},
		Accounts: []config.Account{{Name: "bench", KeySHA256: hex.EncodeToString(digest[:]), Programs: []string{"bench"}}},
		Tools:    []config.Tool{{Name: "service", Prefix: servicePath, Pool: servicePool}},
	}
	set.ApplyDefaults()
	return set
}

// Run starts a local deployment and makes all measurements.
func Run(ctx context.Context, o Options) (*Result, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := local.Start(startCtx, local.Options{
		Config:           benchSet(),
		EntriesPerDomain: 1,
		Targets:          map[string]int{modelPool: targetsPerPool, servicePool: targetsPerPool},
		EngineStep:       engineStep,
		Binary:           o.Binary,
		ProcessDir:       o.Dir,
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	b := &bench{options: o, deployment: d, client: newClient()}
	r := &Result{Rate: o.Rate, Seed: o.Seed}
	if o.Binary != "" {
		time.Sleep(settleTime)
		if r.EntryIdleBytes, err = maxResidentMemory(d.Entries()); err != nil {
			return nil, err
		}
		if r.SidecarIdleBytes, err = maxResidentMemory(d.Sidecars()); err != nil {
			return nil, err
		}
	}
	if err := b.measureServiceCalls(ctx, r); err != nil {
		return nil, err
	}
	b.measureModelCalls(ctx, r)
	return r, nil
}

type bench struct {
	options    Options
	deployment *local.Deployment
	client     *http.Client
}

func (b *bench) printProgress(format string, args ...any) {
	if b.options.Progress != nil {
		fmt.Fprintf(b.options.Progress, format+"\n", args...)
	}
}

// measureServiceCalls compares plain service calls and measures the processor time
// of the daemons.
func (b *bench) measureServiceCalls(ctx context.Context, r *Result) error {
	var targetURLs, entryURLs []string
	for _, t := range b.deployment.Tools() {
		targetURLs = append(targetURLs, "http://"+t.Addr)
	}
	for _, e := range b.deployment.Entries() {
		entryURLs = append(entryURLs, e.URL())
	}
	b.printProgress("service calls directly to the targets")
	direct := b.runLoad(ctx, targetURLs, b.callService)
	before, err := b.processorTime()
	if err != nil {
		return err
	}
	b.printProgress("service calls through entry and sidecar")
	proxied := b.runLoad(ctx, entryURLs, b.callService)
	after, err := b.processorTime()
	if err != nil {
		return err
	}
	r.Service = compare(direct.total, proxied.total)
	if used := after - before; used > 0 {
		r.CallsPerCore = float64(proxied.sent) / used.Seconds()
	}
	return nil
}

// measureModelCalls compares streamed model calls.
func (b *bench) measureModelCalls(ctx context.Context, r *Result) {
	var targetURLs, entryURLs []string
	for _, m := range b.deployment.Models() {
		targetURLs = append(targetURLs, "http://"+m.Addr)
	}
	for _, e := range b.deployment.Entries() {
		entryURLs = append(entryURLs, e.URL())
	}
	b.printProgress("model calls directly to the engines")
	direct := b.runLoad(ctx, targetURLs, b.callModel)
	b.printProgress("model calls through entry and sidecar")
	proxied := b.runLoad(ctx, entryURLs, b.callModel)
	r.Model = compare(direct.total, proxied.total)
	r.FirstToken = compare(direct.firstByte, proxied.firstByte)
}
