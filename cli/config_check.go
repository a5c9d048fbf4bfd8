package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/catalog/lint"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
)

// errFindings means that a configuration has errors, or warnings that count as errors.
var errFindings = errors.New("the configuration should not be sent")

func configCommand() *cli.Command {
	return &cli.Command{
		Name:     "config",
		Usage:    "work with configurations of the users' platform",
		Commands: []*cli.Command{configCheckCommand()},
	}
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration of the users' platform before it is sent",
		ArgsUsage: "FILE",
		Description: "Finds errors, entries that can never match and limits that contradict each other, and lists what differs from the version in force. " +
			"Exits with 0 if the configuration can be sent, 1 if not, and 2 if it cannot be read. Example:\n" +
			"  rhubarbsaddle config check next.json\n  rhubarbsaddle config check --against current.json next.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "`FILE` with the version in force"},
			&cli.BoolFlag{Name: "strict", Usage: "treat warnings as errors"},
			jsonFlag(),
		},
		Action: runConfigCheck,
	}
}

// configReport is the result of a check.
type configReport struct {
	Findings []reportedFinding `json:"findings"`
	Changes  []reportedChange  `json:"changes,omitempty"`
}

type reportedFinding struct {
	platform.Position
	Severity string `json:"severity"`
	Text     string `json:"text"`
}

type reportedChange struct {
	platform.Position
	Sign    string `json:"sign"`
	Name    string `json:"name"`
	Text    string `json:"text"`
	Affects string `json:"affects"`
}

func runConfigCheck(_ context.Context, cmd *cli.Command) error {
	path, err := oneArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	text, config, err := readPlatformConfig(path)
	if err != nil {
		return err
	}
	findings := lint.Check(config)
	var changes []lint.Change
	if against := cmd.String("against"); against != "" {
		_, inForce, err := readPlatformConfig(against)
		if err != nil {
			return err
		}
		var versions []lint.Finding
		changes, versions = lint.Compare(inForce, config)
		findings = append(findings, versions...)
	}
	report := newConfigReport(text, findings, changes)
	if err := report.print(cmd.Root().Writer, path, cmd.Bool("json")); err != nil {
		return err
	}
	if lint.HasErrors(findings) || cmd.Bool("strict") && len(findings) > 0 {
		return errFindings
	}
	return nil
}

// readPlatformConfig reads a file. Every error is a UsageError that begins with the path.
func readPlatformConfig(path string) (*platform.ConfigText, *catalog.Config, error) {
	value, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &UsageError{Err: err}
	}
	text, config, err := platform.ParseConfig(value)
	if err != nil {
		return nil, nil, &UsageError{Err: fmt.Errorf("%s: %w", path, err)}
	}
	return text, config, nil
}

func newConfigReport(text *platform.ConfigText, findings []lint.Finding, changes []lint.Change) configReport {
	report := configReport{Findings: []reportedFinding{}}
	for _, f := range findings {
		report.Findings = append(report.Findings, reportedFinding{Position: text.Position(f.Subject), Severity: f.Severity.String(), Text: f.Text})
	}
	for _, c := range changes {
		report.Changes = append(report.Changes, reportedChange{Position: text.Position(c.Subject), Sign: c.Sign, Name: c.Subject.Name, Text: c.Text, Affects: c.Affects})
	}
	return report
}

// print writes the report as JSON, or as one line for each finding and change.
func (r configReport) print(w io.Writer, path string, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s:%d: %s: %s: %s\n", path, f.Line, f.Severity, f.Path, f.Text)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(w, "%s %s %s: %s (touches: %s)\n", c.Sign, c.Path, c.Name, c.Text, c.Affects)
	}
	_, err := fmt.Fprintf(w, "%d findings, %d changes\n", len(r.Findings), len(r.Changes))
	return err
}
