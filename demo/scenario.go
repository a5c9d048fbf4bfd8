package demo

import (
	"math/rand/v2"
	"time"
)

// scenario is one deployment of the demo and the work that it gets.
type scenario struct {
	// folder is the set's folder below the examples.
	folder string
	// key is the account's API key, as the example's comment gives it.
	key     string
	targets map[string]int
	kinds   []kind
	// service takes idempotent calls and booking those that must not be
	// repeated.
	service string
	booking string
}

// kind is a program kind of a scenario.
type kind struct {
	name  string
	model string
	// subModel is the model of the sub-agents.
	subModel string
	// minTurns and maxTurns bound the turns of a program.
	minTurns, maxTurns int
	// minOutput and maxOutput bound the output tokens of a turn.
	minOutput, maxOutput int
	// opening is the length of the first message in words.
	opening int
}

func scenarios() []scenario {
	return []scenario{
		{
			folder:  "bancarella",
			key:     "circuit-demo-key",
			targets: map[string]int{"assistant": 3, "booking": 2, "pitch-services": 2},
			service: "/vendors/",
			booking: "/pitches/",
			kinds: []kind{
				{"pitch-draft", "booking-application", "booking-application", 2, 5, 16, 48, 120},
				{"haggle", "vendor-assistant", "booking-application", 4, 10, 16, 64, 300},
			},
		},
		{
			folder:  "manizales",
			key:     "residents-demo-key",
			targets: map[string]int{"companion": 2, "guide": 2, "audio-services": 2},
			service: "/library/",
			booking: "/playback/",
			kinds: []kind{
				{"find-session", "guide", "guide", 2, 4, 16, 48, 80},
				{"companion", "companion", "guide", 5, 12, 16, 64, 400},
			},
		},
	}
}

// shape is the course of one program, drawn in advance.
type shape struct {
	kind  kind
	turns []turn
	// tight programs have a budget that their turns exceed.
	tight bool
	// arrival is when the program begins.
	arrival time.Duration
}

// turn is one model call and what follows it.
type turn struct {
	output   int
	streamed bool
	tool     toolKind
	pause    time.Duration
	subAgent bool
	words    int
}

type toolKind uint8

const (
	noTool toolKind = iota
	idempotentTool
	bookingTool
)

// Shares of the turns and programs with each feature.
const (
	streamedShare = 0.5
	toolShare     = 0.6
	bookingShare  = 0.4
	subAgentShare = 0.1
	tightShare    = 0.05
)

const (
	// meanPause is the mean pause of a program between two turns.
	meanPause = 60 * time.Millisecond
	maxPause  = 10 * meanPause
)

// shapes draws the programs of a scenario; they arrive over a span of time.
func (s *scenario) shapes(rng *rand.Rand, count int, span time.Duration) []shape {
	all := make([]shape, count)
	for i := range all {
		all[i] = s.shape(rng)
		all[i].arrival = time.Duration(rng.Int64N(int64(span)))
	}
	return all
}

func (s *scenario) shape(rng *rand.Rand) shape {
	k := s.kinds[rng.IntN(len(s.kinds))]
	sh := shape{kind: k, tight: rng.Float64() < tightShare}
	for i := range k.minTurns + rng.IntN(k.maxTurns-k.minTurns+1) {
		t := turn{
			output:   k.minOutput + rng.IntN(k.maxOutput-k.minOutput+1),
			streamed: rng.Float64() < streamedShare,
			pause:    min(time.Duration(rng.ExpFloat64()*float64(meanPause)), maxPause),
			subAgent: rng.Float64() < subAgentShare,
			words:    10 + rng.IntN(40),
		}
		if i == 0 {
			t.words = k.opening
		}
		if rng.Float64() < toolShare {
			t.tool = idempotentTool
			if rng.Float64() < bookingShare {
				t.tool = bookingTool
			}
		}
		sh.turns = append(sh.turns, t)
	}
	return sh
}
