package demo

import (
	"errors"
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// ViolationError reports violated invariants or unfinished programs.
type ViolationError struct {
	Deployment string
	Count      int
	First      string
}

// Error returns the deployment, the number of violations and the first one.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("demo: %s: %d violations or unfinished programs, first: %s", e.Deployment, e.Count, e.First)
}

// Check returns an error if an invariant was violated or a program did not
// finish.
func Check(results []*Result) error {
	var all error
	for _, r := range results {
		if len(r.Violations) > 0 {
			all = errors.Join(all, &ViolationError{Deployment: r.Deployment, Count: len(r.Violations), First: r.Violations[0]})
			continue
		}
		if r.Finished != r.Programs {
			all = errors.Join(all, &ViolationError{
				Deployment: r.Deployment,
				Count:      r.Programs - r.Finished,
				First:      "programs did not finish",
			})
		}
	}
	return all
}

// WriteObservations appends the observations of all deployments to a file. If
// the path is empty, it does nothing.
func WriteObservations(path string, results []*Result) error {
	if path == "" {
		return nil
	}
	log, err := observe.NewLog(observe.LogOptions{Path: path})
	if err != nil {
		return err
	}
	for _, r := range results {
		for _, o := range r.Observations {
			if err := log.AppendObservation(o); err != nil {
				return err
			}
		}
	}
	return log.Close()
}
