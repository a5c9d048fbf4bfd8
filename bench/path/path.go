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
	// Rate is the number of calls a second; arrivals do not wait for answers.
	Rate float64
	// Duration is the length of each of the four measurements.
	Duration time.Duration
	// Binary runs the daemons as processes of their own; empty runs them in this
	// process, and memory and processor time are not measured.
	Binary string
	Dir    string
	Seed   uint64
	// Progress, if set, takes a line for each phase.
	Progress io.Writer
}

// Result is what was measured.
type Result struct {
	Rate float64 `json:"rate"`
	Seed uint64  `json:"seed"`
	// Service calls are plain, Model calls streamed.
	Service Comparison `json:"service"`
	Model   Comparison `json:"model"`
	// FirstToken compares the times to the first event of a streamed answer.
	FirstToken Comparison `json:"first_token"`
	// CallsPerCore is the number of service calls that a core of the daemons'
	// processor time carries in a second, entries and sidecars together.
	CallsPerCore float64 `json:"calls_per_core"`
	// EntryIdle and SidecarIdle are resident bytes before any call; the largest
	// process of each role.
	EntryIdle   int64 `json:"entry_idle_bytes"`
	SidecarIdle int64 `json:"sidecar_idle_bytes"`
}

// Comparison sets calls through the system against calls straight to a target.
type Comparison struct {
	Direct  Quantiles `json:"direct"`
	Proxied Quantiles `json:"through"`
	// AddedP50 and AddedP99 are the differences.
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
	// engineStep is the time of the engines' step.
	engineStep = time.Millisecond
	// targets is the number of targets of each pool.
	targets = 4
	// settle is the pause before the idle memory is read.
	settle = time.Second
)

// benchSet is a deployment of two failure domains, so that every write has a
// mirror.
func benchSet() *config.Set {
	// Calls straight to the targets are spread evenly; so are those through.
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

// Run measures.
func Run(ctx context.Context, o Options) (*Result, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := local.Start(startCtx, local.Options{
		Config:           benchSet(),
		EntriesPerDomain: 1,
		Targets:          map[string]int{modelPool: targets, servicePool: targets},
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
		time.Sleep(settle)
		if r.EntryIdle, err = largest(d.Entries()); err != nil {
			return nil, err
		}
		if r.SidecarIdle, err = largest(d.Sidecars()); err != nil {
			return nil, err
		}
	}
	if err := b.services(ctx, r); err != nil {
		return nil, err
	}
	b.models(ctx, r)
	return r, nil
}

type bench struct {
	options    Options
	deployment *local.Deployment
	client     *http.Client
}

func (b *bench) say(format string, args ...any) {
	if b.options.Progress != nil {
		fmt.Fprintf(b.options.Progress, format+"\n", args...)
	}
}

// services compares plain service calls and takes the processor time of the
// daemons.
func (b *bench) services(ctx context.Context, r *Result) error {
	var direct, through []string
	for _, t := range b.deployment.Tools() {
		direct = append(direct, "http://"+t.Addr)
	}
	for _, e := range b.deployment.Entries() {
		through = append(through, e.URL())
	}
	b.say("service calls straight to the targets")
	straight := b.load(ctx, direct, b.callService)
	before, err := b.processorTime()
	if err != nil {
		return err
	}
	b.say("service calls through entry and sidecar")
	passed := b.load(ctx, through, b.callService)
	after, err := b.processorTime()
	if err != nil {
		return err
	}
	r.Service = compare(straight.whole, passed.whole)
	if used := after - before; used > 0 {
		r.CallsPerCore = float64(passed.sent) / used.Seconds()
	}
	return nil
}

// models compares streamed model calls.
func (b *bench) models(ctx context.Context, r *Result) {
	var direct, through []string
	for _, m := range b.deployment.Models() {
		direct = append(direct, "http://"+m.Addr)
	}
	for _, e := range b.deployment.Entries() {
		through = append(through, e.URL())
	}
	b.say("model calls straight to the engines")
	straight := b.load(ctx, direct, b.callModel)
	b.say("model calls through entry and sidecar")
	passed := b.load(ctx, through, b.callModel)
	r.Model = compare(straight.whole, passed.whole)
	r.FirstToken = compare(straight.first, passed.first)
}
