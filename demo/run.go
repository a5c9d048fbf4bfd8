package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/local"
)

// Options are the settings of a demo run.
type Options struct {
	// ExamplesDir is the folder of the example sets.
	ExamplesDir string
	Seed        uint64
	// Programs is the number of programs of each deployment.
	Programs int
	// FaultRounds is the number of rounds of failures, each an entry and a sidecar.
	FaultRounds int
	// ArrivalSpan is the time over which the programs arrive.
	ArrivalSpan time.Duration
	// Binary, if set, runs the daemons as processes of their own.
	Binary string
	// ProcessDir takes the processes' settings and logs.
	ProcessDir string
	// DataDir, if set, takes a folder with the processes' event logs for each
	// deployment.
	DataDir string
	// Out takes the progress and the table.
	Out io.Writer
	// Terminal rewrites the progress line in place.
	Terminal bool
}

const (
	// startTimeout bounds the start of a deployment.
	startTimeout = 20 * time.Second
	// engineStep is the time of an engine's step.
	engineStep = 2 * time.Millisecond
	// toolTime is the time of a service's execution.
	toolTime = 10 * time.Millisecond
	// vmLag is how late the VM list shows changes.
	vmLag = time.Second
)

// Run runs the demo and prints its table. The result says what was broken.
func Run(ctx context.Context, o Options) ([]*Result, error) {
	fmt.Fprintf(o.Out, "seed %d, %d programs for each deployment\n", o.Seed, o.Programs)
	var runs []*run
	for i, s := range scenarios() {
		runs = append(runs, newRun(o, s, uint64(i)))
	}
	defer func() {
		for _, r := range runs {
			r.close()
		}
	}()
	if err := startAll(ctx, runs); err != nil {
		return nil, err
	}
	stop := showProgress(o, runs)
	var all sync.WaitGroup
	for _, r := range runs {
		all.Go(func() { r.drive(ctx) })
	}
	all.Wait()
	stop()
	var results []*Result
	for _, r := range runs {
		results = append(results, r.result(ctx))
	}
	return results, printTable(o.Out, results)
}

func startAll(ctx context.Context, runs []*run) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, r := range runs {
		group.Go(func() error { return r.start(ctx) })
	}
	return group.Wait()
}

// run is one deployment of the demo.
type run struct {
	options    Options
	scenario   scenario
	rng        *rand.Rand
	stats      *stats
	deployment *local.Deployment
	faults     faults
}

func newRun(o Options, s scenario, stream uint64) *run {
	return &run{options: o, scenario: s, rng: rand.New(rand.NewPCG(o.Seed, stream)), stats: &stats{}}
}

func (r *run) start(ctx context.Context) error {
	set, err := load.Set(filepath.Join(r.options.ExamplesDir, r.scenario.folder))
	if err != nil {
		return err
	}
	folder := ""
	if r.options.Binary != "" {
		folder = filepath.Join(r.options.ProcessDir, r.scenario.folder)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
	}
	data := ""
	if r.options.DataDir != "" {
		data = filepath.Join(r.options.DataDir, r.scenario.folder)
		if err := os.MkdirAll(data, 0o750); err != nil {
			return err
		}
	}
	r.deployment, err = local.Start(ctx, local.Options{
		Config:           set,
		EntriesPerDomain: 1,
		Targets:          r.scenario.targets,
		VMListDelay:      vmLag,
		EngineStep:       engineStep,
		ToolTime:         toolTime,
		DataDir:          data,
		Binary:           r.options.Binary,
		ProcessDir:       folder,
	})
	return err
}

func (r *run) close() {
	if r.deployment != nil {
		r.deployment.Close()
	}
}

// firstKillAfter returns the number of ended programs after which the failures
// begin: half-way, or earlier so that several rounds fit in.
func (r *run) firstKillAfter() int { return r.options.Programs / (r.options.FaultRounds + 1) }

// drive runs all programs, and the failures meanwhile.
func (r *run) drive(ctx context.Context) {
	c := newCaller(&r.scenario, newBalancer(r.deployment), r.stats)
	shapes := r.scenario.shapes(r.rng, r.options.Programs, r.options.ArrivalSpan)
	begin := make(chan struct{})
	var once sync.Once
	var all sync.WaitGroup
	for i, sh := range shapes {
		p := &program{
			caller: c,
			id:     fmt.Sprintf("%s-%d-%d", sh.kind.name, r.options.Seed, i),
			shape:  sh,
		}
		if sh.tight {
			p.budget = tightBudget
		}
		all.Go(func() {
			time.Sleep(sh.arrival)
			if err := p.run(ctx); err != nil {
				r.stats.failed(p.id, err)
			}
			if int(r.stats.ended.Add(1)) >= r.firstKillAfter() {
				once.Do(func() { close(begin) })
			}
		})
	}
	all.Go(func() {
		<-begin
		r.faults.inject(ctx, r.deployment, r.options.FaultRounds)
	})
	all.Wait()
}
