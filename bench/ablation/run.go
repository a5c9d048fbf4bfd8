package ablation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Error is a failed step of an experiment.
type Error struct {
	// Step is clone, prepare, play or collect.
	Step string
	// Peer names the play or the directory.
	Peer string
	Err  error
}

// Error returns the step, the play and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ablation %s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Day is a day of a deployment.
type Day struct {
	// File is the path of the deployment's file.
	File string
	Name string
}

// Experiment describes the plays of an experiment.
type Experiment struct {
	// Name distinguishes the records of this experiment from those of others. It has no
	// spaces.
	Name string
	// Repository is the root of the repository. Its last commit is played, in clones.
	Repository string
	// Play is the command that plays one day. Its words may contain {deployment}, {day},
	// {seed} and {comment}.
	Play string
	// Journal is the directory below the repository in which the command leaves its
	// records, and to which the records of the clones are copied.
	Journal string
	Days    []Day
	Seeds   []int
	// Mechanisms are the names of those that are disabled, one at a time. Each day is also
	// played Repeats times with all mechanisms, to measure the spread.
	Mechanisms []string
	Repeats    int
	// Jobs is the number of days that are played at the same time.
	Jobs int
	// Progress receives a line for each play.
	Progress io.Writer
}

// play is one play of an experiment. Without is the name of the disabled mechanism, or
// empty.
type play struct {
	day     Day
	seed    int
	without string
}

// plays returns the experiment's plays. Those of one day follow each other, so that an
// experiment that is cut short has complete days.
func (e *Experiment) plays() []play {
	var plays []play
	for _, day := range e.Days {
		for _, seed := range e.Seeds {
			for range e.Repeats {
				plays = append(plays, play{day: day, seed: seed})
			}
			for _, name := range e.Mechanisms {
				plays = append(plays, play{day: day, seed: seed, without: name})
			}
		}
	}
	return plays
}

// Run plays all days. A day whose command fails is reported in the progress and in the
// returned error, and the others are played. Any other error ends the experiment.
func (e *Experiment) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return &Error{Step: "clone", Peer: e.Repository, Err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	queue := make(chan play)
	var workers sync.WaitGroup
	var failed atomic.Int64
	for i := range e.Jobs {
		workers.Go(func() {
			if err := e.work(ctx, filepath.Join(dir, strconv.Itoa(i)), queue, &failed); err != nil {
				cancel(err)
			}
		})
	}
	e.enqueue(ctx, queue)
	workers.Wait()
	if err := os.RemoveAll(dir); err != nil {
		return &Error{Step: "clone", Peer: dir, Err: err}
	}
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if n := failed.Load(); n > 0 {
		return &Error{Step: "play", Peer: e.Play, Err: fmt.Errorf("%d plays failed", n)}
	}
	return nil
}

func (e *Experiment) enqueue(ctx context.Context, queue chan<- play) {
	defer close(queue)
	for _, p := range e.plays() {
		select {
		case queue <- p:
		case <-ctx.Done():
			return
		}
	}
}

// work plays days in its own clone until the queue is empty, and counts those whose command
// failed.
func (e *Experiment) work(ctx context.Context, clone string, queue <-chan play, failed *atomic.Int64) error {
	if err := command(ctx, e.Repository, "git", "clone", "--quiet", "--shared", ".", clone); err != nil {
		return &Error{Step: "clone", Peer: clone, Err: err}
	}
	for p := range queue {
		err := e.playDay(ctx, clone, p)
		var playErr *Error
		if errors.As(err, &playErr) && playErr.Step == "play" && ctx.Err() == nil {
			failed.Add(1)
			_, err = fmt.Fprintln(e.Progress, playErr)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) playDay(ctx context.Context, clone string, p play) error {
	comment := Comment(e.Name, p.without, p.seed)
	if err := command(ctx, clone, "git", "checkout", "--quiet", "--", deployDir); err != nil {
		return &Error{Step: "prepare", Peer: comment, Err: err}
	}
	if err := disable(filepath.Join(clone, deployDir), p.without); err != nil {
		return &Error{Step: "prepare", Peer: comment, Err: err}
	}
	playErr := command(ctx, clone, e.words(p, comment)...)
	// A failed play may have left a record as well.
	if err := e.collect(clone); err != nil {
		return &Error{Step: "collect", Peer: comment, Err: err}
	}
	if playErr != nil {
		return &Error{Step: "play", Peer: p.day.Name + " " + comment, Err: playErr}
	}
	_, err := fmt.Fprintf(e.Progress, "%s %s, %s\n", filepath.Base(p.day.File), p.day.Name, comment)
	return err
}

// words returns the words of the command that plays a day.
func (e *Experiment) words(p play, comment string) []string {
	values := strings.NewReplacer("{deployment}", p.day.File, "{day}", p.day.Name, "{seed}", strconv.Itoa(p.seed), "{comment}", comment)
	words := strings.Fields(e.Play)
	for i := range words {
		words[i] = values.Replace(words[i])
	}
	return words
}

// collect copies new records from a clone to the repository.
func (e *Experiment) collect(clone string) error {
	records, err := filepath.Glob(filepath.Join(clone, e.Journal, "*.json"))
	if err != nil {
		return err
	}
	for _, record := range records {
		target := filepath.Join(e.Repository, e.Journal, filepath.Base(record))
		if _, err := os.Stat(target); err == nil {
			continue
		}
		data, err := os.ReadFile(record)
		if err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// command runs a command in a directory. Its error contains the end of the command's
// output.
func command(ctx context.Context, dir string, words ...string) error {
	c := exec.CommandContext(ctx, words[0], words[1:]...)
	c.Dir = dir
	// The command may have processes of its own, which it ends when it is interrupted.
	c.Cancel = func() error { return c.Process.Signal(os.Interrupt) }
	c.WaitDelay = interruptTimeout
	out, err := c.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", words[0], err, out[max(0, len(out)-maxOutputBytes):])
	}
	return nil
}

// interruptTimeout is the time that an interrupted command has until it is killed.
const interruptTimeout = 5 * time.Second

// maxOutputBytes bounds the output of a failed command that is reported.
const maxOutputBytes = 400
