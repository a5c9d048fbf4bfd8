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

// nodeStatus is the answer of one process, or why there is none.
type nodeStatus struct {
	Node   string       `json:"node"`
	Error  string       `json:"error,omitempty"`
	Status *node.Status `json:"status,omitempty"`
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	var all []nodeStatus
	var failed error
	for _, addr := range cmd.StringSlice("node") {
		one := nodeStatus{Node: addr}
		var status node.Status
		if err := operatorCall(ctx, cmd, "status", http.MethodGet, addr, "/status", &status); err != nil {
			one.Error = err.Error()
			failed = errors.Join(failed, err)
		} else {
			one.Status = &status
		}
		all = append(all, one)
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Join(encoder.Encode(all), failed)
	}
	return errors.Join(printStatus(out, all, cmd.Bool("slots")), failed)
}

// printStatus prints the processes, and the targets and slots as the first
// entry sees them.
func printStatus(out io.Writer, all []nodeStatus, slots bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tVM\tROLE\tDOMAIN\tGENERATION\tUPTIME\tSTATE\tWORK\tVIOLATIONS")
	var view *entry.Status
	for _, one := range all {
		if one.Status == nil {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\tunreachable\t-\t-\n", one.Node)
			continue
		}
		s := one.Status
		state, work, seen, err := summary(s)
		if err != nil {
			return err
		}
		if view == nil {
			view = seen
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\n",
			one.Node, s.VM, s.Role, s.Domain, s.Generation, s.Uptime, state, work, violations(s))
	}
	if view != nil {
		printTargets(w, view)
	}
	if view != nil && slots {
		printSlots(w, view)
	}
	return w.Flush()
}

// summary returns the state and the work of a process, and the view of an
// entry.
func summary(s *node.Status) (state, work string, view *entry.Status, err error) {
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
	view = &entry.Status{}
	if err := json.Unmarshal(s.State, view); err != nil {
		return "", "", nil, err
	}
	switch {
	case view.Draining:
		state = "draining"
	case view.StoreFailed:
		state = "live, no key-value service"
	}
	work = fmt.Sprintf("home of %d, mirror of %d, ownerless %d, programs %d, requests %d",
		view.OwnedSlots, view.ReplicatedSlots, view.OwnerlessSlots, view.Programs, view.Requests)
	return state, work, view, nil
}

func violations(s *node.Status) uint64 {
	var sum uint64
	for _, p := range s.Promises {
		sum += p.Violations
	}
	return sum
}

func printTargets(w io.Writer, view *entry.Status) {
	fmt.Fprintln(w, "\nTARGET\tPOOL\tDOMAIN\tSTATE\tRUNNING\tWAITING\tCACHE USED\tREPORT AGE")
	for _, t := range view.Targets {
		state := "usable"
		switch {
		case t.Leaving:
			state = "leaving"
		case !t.Usable:
			state = "unusable"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d/%d\t%s\n", t.Node.VM, t.Pool, t.Domain, state,
			t.Load.Running, t.Load.Limit, t.Load.Waiting, t.Load.CacheUsed, t.Load.CacheTokens, age(t.ReportAge))
	}
}

func printSlots(w io.Writer, view *entry.Status) {
	fmt.Fprintln(w, "\nSLOT\tEPOCH\tHOME\tMIRRORS\tPROGRAMS")
	for _, s := range view.Slots {
		fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%d\n", s.Slot, s.Epoch, s.Owner, s.Replicas, s.Programs)
	}
}

func age(d core.Duration) string { return time.Duration(d).Round(time.Millisecond).String() }
