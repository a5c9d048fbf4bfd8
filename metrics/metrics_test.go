package metrics

import (
	"errors"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

var update = flag.Bool("update", false, "write docs/METRICS.md")

const pagePath = "../docs/METRICS.md"

func TestPage(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(Page()), 0o644))
	}
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, Page(), string(page), "generate the page with: go test ./metrics -run TestPage -update")
}

// populatedRegistry returns a registry in which every metric has a value.
func populatedRegistry(t *testing.T) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	var recorder invariant.Recorder
	recorder.Check(invariant.Budget, false, "spent")
	m, err := New(registry, &recorder)
	require.NoError(t, err)
	for _, e := range []core.Effect{
		core.Decision{Step: "place", Cost: core.Second, Wait: core.Second},
		core.Decision{Step: "finish", Usage: core.Usage{PromptTokens: 5, CachedTokens: 3, OutputTokens: 2}},
		core.Decision{Step: "no such step", Reason: "no such reason"},
		core.Send{Msg: core.Hello{}}, core.Reply{Finish: core.Finish{Outcome: core.OutcomeNotRun, Reason: core.ReasonBudgetExhausted}},
		core.StartTarget{}, core.AbortTarget{}, core.ReleaseCache{}, core.ListCache{},
	} {
		m.RecordEffect(e)
	}
	m.RecordStoreCall("swap", errors.New("outage"))
	m.RecordPeerError()
	m.RecordRequest("chat", core.OutcomeRan, "", time.Second, time.Millisecond)
	m.RecordObservation(observe.Observation{Measure: observe.Refused, Good: true})
	m.RecordEffect(core.Send{Msg: core.LoadReport{Load: core.Load{Waiting: 1, StepTime: 5 * core.Millisecond}}})
	m.SetGeneration(7)
	return registry
}

func TestEveryDefinitionIsExposed(t *testing.T) {
	families, err := populatedRegistry(t).Gather()
	require.NoError(t, err)
	var got, want []string
	for _, f := range families {
		got = append(got, f.GetName()+" "+strings.ToLower(f.GetType().String()))
	}
	for _, d := range Definitions() {
		want = append(want, d.FullName()+" "+string(d.Kind))
	}
	require.ElementsMatch(t, want, got)
	problems, err := testutil.GatherAndLint(populatedRegistry(t))
	require.NoError(t, err)
	require.Empty(t, problems)
}

func TestRecordedEffectsAreCounted(t *testing.T) {
	want := `
# HELP rhubarbsaddle_decisions_total Decisions of the reducers, by step and, for refusals and failures, by reason.
# TYPE rhubarbsaddle_decisions_total counter
rhubarbsaddle_decisions_total{reason="none",step="finish"} 1
rhubarbsaddle_decisions_total{reason="none",step="place"} 1
rhubarbsaddle_decisions_total{reason="other",step="other"} 1
# HELP rhubarbsaddle_tokens_total Tokens of finished calls: prompt, cached (the part of the prompt found in a prefix cache) and output.
# TYPE rhubarbsaddle_tokens_total counter
rhubarbsaddle_tokens_total{kind="cached"} 3
rhubarbsaddle_tokens_total{kind="output"} 2
rhubarbsaddle_tokens_total{kind="prompt"} 5
# HELP rhubarbsaddle_replies_total Final words given to callers, by what is known of the call's execution.
# TYPE rhubarbsaddle_replies_total counter
rhubarbsaddle_replies_total{outcome="not_run",reason="budget_exhausted"} 1
# HELP rhubarbsaddle_config_generation_number Generation of the configuration in force.
# TYPE rhubarbsaddle_config_generation_number gauge
rhubarbsaddle_config_generation_number 7
`
	require.NoError(t, testutil.GatherAndCompare(populatedRegistry(t), strings.NewReader(want),
		"rhubarbsaddle_decisions_total", "rhubarbsaddle_tokens_total",
		"rhubarbsaddle_replies_total", "rhubarbsaddle_config_generation_number"))
}

// TestLabelsCoverReasonsAndMessagesOfCore fails if package core declares a reason or
// a message type that would be exposed as "other".
func TestLabelsCoverReasonsAndMessagesOfCore(t *testing.T) {
	files, err := os.ReadDir("../core")
	require.NoError(t, err)
	var missing []string
	declared := make(map[string]bool)
	for _, file := range files {
		if file.IsDir() || !strings.HasSuffix(file.Name(), ".go") || strings.HasSuffix(file.Name(), "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), "../core/"+file.Name(), nil, 0)
		require.NoError(t, err)
		missing = append(missing, unknownReasons(parsed)...)
		types := messageTypes(parsed)
		missing = append(missing, unknownMessages(types)...)
		for _, name := range types {
			declared[name] = true
		}
	}
	require.Empty(t, missing)
	for name := range messageLabels {
		require.True(t, declared[name], "core declares no message type %s", name)
	}
}

// unknownReasons returns the constants of type Reason without a label value.
func unknownReasons(file *ast.File) []string {
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		kind, ok := spec.Type.(*ast.Ident)
		literal, isLiteral := spec.Values[0].(*ast.BasicLit)
		if !ok || kind.Name != "Reason" || !isLiteral {
			return true
		}
		if value := strings.Trim(literal.Value, `"`); !slices.Contains(reasons, value) {
			out = append(out, value)
		}
		return true
	})
	return out
}

// messageLabels holds the label values of the message types whose label value differs
// from the type's name in snake case. Operators rely on label values, so a value
// stays when a type is renamed.
var messageLabels = map[string]string{
	"ReplicaWrite":  "mirror_write",
	"ReplicaAck":    "mirror_ack",
	"HistoryStored": "history_kept",
}

// messageTypes returns the names of the message types that a file declares.
func messageTypes(file *ast.File) []string {
	var out []string
	for _, decl := range file.Decls {
		fn, ok := decl.(*ast.FuncDecl)
		if !ok || fn.Recv == nil || fn.Name.Name != "message" {
			continue
		}
		out = append(out, fn.Recv.List[0].Type.(*ast.Ident).Name)
	}
	return out
}

// unknownMessages returns the message types without a label value.
func unknownMessages(types []string) []string {
	var out []string
	for _, name := range types {
		label, ok := messageLabels[name]
		if !ok {
			label = snakeCase(name)
		}
		if !slices.Contains(messageNames(), label) {
			out = append(out, name)
		}
	}
	return out
}

// snakeCase returns a type's name in snake case.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}
