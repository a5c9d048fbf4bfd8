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
	// ExamplesDir is the directory of the example configurations.
	ExamplesDir string
	Seed        uint64
	// Programs is the number of programs per deployment.
	Programs int
	// FaultRounds is the number of fault rounds. In each round an entry and a
	// sidecar are killed.
	FaultRounds int
	// ArrivalSpan is the time over which the programs arrive.
	ArrivalSpan time.Duration
	// Binary, if set, is the daemon executable: each daemon runs as a process of
	// its own. If it is empty, they run in this process.
	Binary string
	// ProcessDir is the directory for the processes' settings and logs.
	ProcessDir string
	// DataDir, if set, is the directory for the processes' event logs, with one
	// subdirectory per deployment.
	DataDir string
	// Out receives the progress and the table.
	Out io.Writer
	// Terminal means that Out is a terminal, where the progress line is rewritten
	// in place.
	Terminal bool
}

const (
	// startTimeout limits the start of all deployments.
	startTimeout = 20 * time.Second
	// engineStepTime is the duration of an engine's step.
	engineStepTime = 2 * time.Millisecond
	// toolExecutionTime is the execution time of a tool call.
	toolExecutionTime = 10 * time.Millisecond
	// vmListDelay is the time after which the VM list shows a change.
	vmListDelay = time.Second
)

// Run runs the demo and prints its table. The results list the violations; the
// error reports only failures of the run itself.
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
		all.Go(func() { r.runPrograms(ctx) })
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

// run is one execution of a scenario.
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
	set, err := load.Set(filepath.Join(r.options.ExamplesDir, r.scenario.dir))
	if err != nil {
		return err
	}
	processDir := ""
	if r.options.Binary != "" {
		processDir = filepath.Join(r.options.ProcessDir, r.scenario.dir)
		if err := os.MkdirAll(processDir, 0o700); err != nil {
			return err
		}
	}
	dataDir := ""
	if r.options.DataDir != "" {
		dataDir = filepath.Join(r.options.DataDir, r.scenario.dir)
		if err := os.MkdirAll(dataDir, 0o750); err != nil {
			return err
		}
	}
	r.deployment, err = local.Start(ctx, local.Options{
		Config:           set,
		EntriesPerDomain: 1,
		Targets:          r.scenario.targets,
		VMListDelay:      vmListDelay,
		EngineStep:       engineStepTime,
		ToolTime:         toolExecutionTime,
		DataDir:          dataDir,
		Binary:           r.options.Binary,
		ProcessDir:       processDir,
	})
	return err
}

func (r *run) close() {
	if r.deployment != nil {
		r.deployment.Close()
	}
}

// firstFaultAfter returns the number of ended programs after which the faults
// begin: half of the programs with one round, fewer with more rounds, so that
// all rounds take place while programs run.
func (r *run) firstFaultAfter() int { return r.options.Programs / (r.options.FaultRounds + 1) }

// runPrograms runs all programs and injects the faults meanwhile.
func (r *run) runPrograms(ctx context.Context) {
	c := newCaller(&r.scenario, newBalancer(r.deployment), r.stats)
	scripts := r.scenario.drawScripts(r.rng, r.options.Programs, r.options.ArrivalSpan)
	startFaults := make(chan struct{})
	var once sync.Once
	var all sync.WaitGroup
	for i, script := range scripts {
		p := &program{
			caller: c,
			id:     fmt.Sprintf("%s-%d-%d", script.kind.name, r.options.Seed, i),
			script: script,
		}
		if script.exceedsBudget {
			p.budget = tightBudget
		}
		all.Go(func() {
			time.Sleep(script.arrival)
			if err := p.run(ctx); err != nil {
				r.stats.recordFailure(p.id, err)
			}
			if int(r.stats.ended.Add(1)) >= r.firstFaultAfter() {
				once.Do(func() { close(startFaults) })
			}
		})
	}
	all.Go(func() {
		<-startFaults
		r.faults.inject(ctx, r.deployment, r.options.FaultRounds)
	})
	all.Wait()
}
