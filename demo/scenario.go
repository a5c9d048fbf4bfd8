package demo

import (
	"math/rand/v2"
	"time"
)

// scenario is one deployment of the demo and its workload.
type scenario struct {
	// dir is the name of the example's directory in Options.ExamplesDir.
	dir string
	// apiKey is an account's API key, named in the comment of accounts.yaml.
	apiKey  string
	targets map[string]int
	kinds   []programKind
	// servicePath is the path prefix of idempotent tool calls, bookingPath the
	// path prefix of calls that must not be repeated.
	servicePath string
	bookingPath string
}

// programKind is a kind of program, with the bounds of its random scripts.
type programKind struct {
	name  string
	model string
	// subModel is the model of the sub-agents.
	subModel string
	// minTurns and maxTurns bound the turns of a program.
	minTurns, maxTurns int
	// minOutput and maxOutput bound the output tokens of a turn.
	minOutput, maxOutput int
	// firstMessageWords is the length of the first message in words.
	firstMessageWords int
}

func scenarios() []scenario {
	return []scenario{
		{
			dir:         "bancarella",
			apiKey:      "circuit-demo-key",
			targets:     map[string]int{"assistant": 3, "booking": 2, "pitch-services": 2},
			servicePath: "/vendors/",
			bookingPath: "/pitches/",
			kinds: []programKind{
				{"pitch-draft", "booking-application", "booking-application", 2, 5, 16, 48, 120},
				{"haggle", "vendor-assistant", "booking-application", 4, 10, 16, 64, 300},
			},
		},
		{
			dir:         "manizales",
			apiKey:      "residents-demo-key",
			targets:     map[string]int{"companion": 2, "guide": 2, "audio-services": 2},
			servicePath: "/library/",
			bookingPath: "/playback/",
			kinds: []programKind{
				{"find-session", "guide", "guide", 2, 4, 16, 48, 80},
				{"companion", "companion", "guide", 5, 12, 16, 64, 400},
			},
		},
	}
}

// programScript lists the turns of one program. It is drawn at random before
// the run.
type programScript struct {
	kind  programKind
	turns []turn
	// exceedsBudget means that the program gets a budget that its turns exceed.
	exceedsBudget bool
	// arrival is the time from the beginning of the run to the program's start.
	arrival time.Duration
}

// turn is one model call and what follows it.
type turn struct {
	maxOutput int
	streamed  bool
	tool      toolKind
	idleTime  time.Duration
	subAgent  bool
	userWords int
}

type toolKind uint8

const (
	noTool toolKind = iota
	idempotentTool
	bookingTool
)

// Shares of the turns that have a feature. bookingShare is a share of the turns
// with a tool call, and exceedsBudgetShare a share of the programs.
const (
	streamedShare      = 0.5
	toolShare          = 0.6
	bookingShare       = 0.4
	subAgentShare      = 0.1
	exceedsBudgetShare = 0.05
)

const (
	// meanIdleTime is the mean idle time of a program between two turns.
	meanIdleTime = 60 * time.Millisecond
	maxIdleTime  = 10 * meanIdleTime
)

// drawScripts draws the scripts of a scenario's programs, which arrive at random
// times within span.
func (s *scenario) drawScripts(rng *rand.Rand, count int, span time.Duration) []programScript {
	all := make([]programScript, count)
	for i := range all {
		all[i] = s.drawScript(rng)
		all[i].arrival = time.Duration(rng.Int64N(int64(span)))
	}
	return all
}

func (s *scenario) drawScript(rng *rand.Rand) programScript {
	k := s.kinds[rng.IntN(len(s.kinds))]
	script := programScript{kind: k, exceedsBudget: rng.Float64() < exceedsBudgetShare}
	for i := range k.minTurns + rng.IntN(k.maxTurns-k.minTurns+1) {
		t := turn{
			maxOutput: k.minOutput + rng.IntN(k.maxOutput-k.minOutput+1),
			streamed:  rng.Float64() < streamedShare,
			idleTime:  min(time.Duration(rng.ExpFloat64()*float64(meanIdleTime)), maxIdleTime),
			subAgent:  rng.Float64() < subAgentShare,
			userWords: 10 + rng.IntN(40),
		}
		if i == 0 {
			t.userWords = k.firstMessageWords
		}
		if rng.Float64() < toolShare {
			t.tool = idempotentTool
			if rng.Float64() < bookingShare {
				t.tool = bookingTool
			}
		}
		script.turns = append(script.turns, t)
	}
	return script
}
