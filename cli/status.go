package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/node"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show processes, slots, targets and queues",
		Description: "Example:\n  rhubarbsaddle status --node 10.0.0.1:9000 --node 10.0.0.2:9000\n" +
			"  rhubarbsaddle status --json --node 10.0.0.1:9000",
		Flags: []cli.Flag{
			nodeFlag(),
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.BoolFlag{Name: "slots", Usage: "list the owner of each slot"},
		},
		Action: runStatus,
	}
}

// nodeStatus is the status of one process, or the error if the status could not be
// read.
type nodeStatus struct {
	Node   string       `json:"node"`
	Error  string       `json:"error,omitempty"`
	Status *node.Status `json:"status,omitempty"`
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	var results []nodeStatus
	var failed error
	for _, addr := range cmd.StringSlice("node") {
		result := nodeStatus{Node: addr}
		var status node.Status
		if err := operatorCall(ctx, cmd, "status", http.MethodGet, addr, "/status", &status); err != nil {
			result.Error = err.Error()
			failed = errors.Join(failed, err)
		} else {
			result.Status = &status
		}
		results = append(results, result)
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Join(encoder.Encode(results), failed)
	}
	return errors.Join(printStatus(out, results, cmd.Bool("slots")), failed)
}

// printStatus prints the processes, then the targets and, if requested, the slots
// from the status of the first entry.
func printStatus(out io.Writer, results []nodeStatus, slots bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tVM\tROLE\tDOMAIN\tGENERATION\tUPTIME\tSTATE\tWORK\tVIOLATIONS")
	var firstEntry *entry.Status
	for _, result := range results {
		if result.Status == nil {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\tunreachable\t-\t-\n", result.Node)
			continue
		}
		s := result.Status
		state, work, entryStatus, err := summarize(s)
		if err != nil {
			return err
		}
		if firstEntry == nil {
			firstEntry = entryStatus
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\n",
			result.Node, s.VM, s.Role, s.Domain, s.Generation, s.Uptime, state, work, violations(s))
	}
	if firstEntry != nil {
		printTargets(w, firstEntry)
	}
	if firstEntry != nil && slots {
		printSlots(w, firstEntry)
	}
	return w.Flush()
}

// summarize returns the state and the work of a process and, for an entry, its
// decoded status.
func summarize(s *node.Status) (state, work string, entryStatus *entry.Status, err error) {
	state = "live"
	if s.Role == "sidecar" {
		var side sidecar.Status
		if err := json.Unmarshal(s.State, &side); err != nil {
			return "", "", nil, err
		}
		if side.Draining {
			state = "draining"
		}
		work = fmt.Sprintf("running %d/%d, waiting %d, programs %d",
			side.Load.Running, side.Load.Limit, side.Load.Waiting, side.Programs)
		return state, work, nil, nil
	}
	entryStatus = &entry.Status{}
	if err := json.Unmarshal(s.State, entryStatus); err != nil {
		return "", "", nil, err
	}
	switch {
	case entryStatus.Draining:
		state = "draining"
	case entryStatus.StoreFailed:
		state = "live, key-value service unavailable"
	}
	work = fmt.Sprintf("owner of %d, replica of %d, ownerless %d, programs %d, requests %d",
		entryStatus.OwnedSlots, entryStatus.ReplicatedSlots, entryStatus.OwnerlessSlots, entryStatus.Programs, entryStatus.Requests)
	return state, work, entryStatus, nil
}

func violations(s *node.Status) uint64 {
	var sum uint64
	for _, p := range s.Invariants {
		sum += p.Violations
	}
	return sum
}

func printTargets(w io.Writer, status *entry.Status) {
	fmt.Fprintln(w, "\nTARGET\tPOOL\tDOMAIN\tSTATE\tRUNNING\tWAITING\tCACHE USED\tREPORT AGE")
	for _, t := range status.Targets {
		state := "usable"
		switch {
		case t.Leaving:
			state = "leaving"
		case !t.Usable:
			state = "unusable"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d/%d\t%s\n", t.Node.VM, t.Pool, t.Domain, state,
			t.Load.Running, t.Load.Limit, t.Load.Waiting, t.Load.CacheUsed, t.Load.CacheTokens, formatAge(t.ReportAge))
	}
}

func printSlots(w io.Writer, status *entry.Status) {
	fmt.Fprintln(w, "\nSLOT\tEPOCH\tHOME\tMIRRORS\tPROGRAMS")
	for _, s := range status.Slots {
		fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%d\n", s.Slot, s.Epoch, s.Owner, s.Replicas, s.Programs)
	}
}

func formatAge(d core.Duration) string { return time.Duration(d).Round(time.Millisecond).String() }
