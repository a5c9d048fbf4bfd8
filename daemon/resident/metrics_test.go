package resident

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/member"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
)

var update = flag.Bool("update", false, "write docs/METRICS-RESIDENT.md anew")

const metricsPage = "../../docs/METRICS-RESIDENT.md"

// described finds name, help and labels in the text of a prometheus.Desc, which
// has no accessors.
var described = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)", .*variableLabels: \{([^}]*)\}`)

// describe returns the rows of a registry's metrics, in the order of their names.
func describe(t *testing.T, registry *prometheus.Registry) []string {
	t.Helper()
	descs := make(chan *prometheus.Desc)
	go func() {
		defer close(descs)
		registry.Describe(descs)
	}()
	var rows []string
	for desc := range descs {
		found := described.FindStringSubmatch(desc.String())
		require.NotNil(t, found, desc.String())
		labels := found[3]
		if labels == "" {
			labels = "none"
		}
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", found[1], labels, found[2]))
	}
	slices.Sort(rows)
	return rows
}

func TestMetricsPageIsThatOfTheCode(t *testing.T) {
	entries, members := prometheus.NewRegistry(), prometheus.NewRegistry()
	relay.NewMetrics(entries)
	quiet := &log.Logger{Level: log.PanicLevel}
	m, err := member.Open(member.Options{
		Name: "m1", Addr: "127.0.0.1:0", Dir: t.TempDir(), FirstStart: true, Log: quiet,
		Directory: discovery.NewDirectory(discovery.Decoder{}, quiet, func(discovery.Snapshot) {}),
	})
	require.NoError(t, err)
	m.Register(members)

	var page strings.Builder
	page.WriteString("# Metrics on the users' platform\n\n")
	page.WriteString("Both roles of `rhubarbsaddled` serve these at `/metrics` of the settings' metrics address. Make this page anew with `go test ./daemon/resident -run TestMetricsPage -update`.\n")
	for _, role := range []struct {
		name     string
		registry *prometheus.Registry
	}{{"entry", entries}, {"ledger", members}} {
		fmt.Fprintf(&page, "\n## %s\n\n| metric | labels | meaning |\n|---|---|---|\n%s", role.name, strings.Join(describe(t, role.registry), ""))
	}
	if *update {
		require.NoError(t, os.WriteFile(metricsPage, []byte(page.String()), 0o644))
	}
	written, err := os.ReadFile(metricsPage)
	require.NoError(t, err)
	require.Equal(t, page.String(), string(written), "make the page anew with: go test ./daemon/resident -run TestMetricsPage -update")
}
