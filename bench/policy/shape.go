package policy

import (
	"math"
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Turn is one model call of a program, with the idle time and the sub-agent
// that follow it.
type Turn struct {
	// Prompt is the text added to the conversation before the call, and Output
	// the length of the answer, both in tokens.
	Prompt uint32
	Output uint32
	// IdleTime is the time until the next call, spent by tools or a person.
	IdleTime core.Duration
	// Child is a sub-agent that the program waits for after the call, or nil.
	Child *Shape
}

// Shape is a complete program with all its turns. Only the generator and the
// clairvoyant run know it in advance.
type Shape struct {
	Kind  string
	Pool  core.Pool
	Turns []Turn
}

// LogNormal is a log-normal distribution, given by its median and the standard
// deviation of its logarithm, truncated at Max.
type LogNormal struct {
	Median float64
	Sigma  float64
	Max    float64
}

func (d LogNormal) draw(rng *rand.Rand) float64 {
	return min(d.Median*math.Exp(d.Sigma*rng.NormFloat64()), d.Max)
}

func (d LogNormal) tokens(rng *rand.Rand) uint32 { return max(1, uint32(d.draw(rng))) }

// Pareto is a Pareto distribution with shape Alpha from Min, truncated at Max.
type Pareto struct {
	Min, Max float64
	Alpha    float64
}

func (d Pareto) draw(rng *rand.Rand) float64 {
	return min(d.Min*math.Pow(1-rng.Float64(), -1/d.Alpha), d.Max)
}

// Kind describes the random programs of one kind. Lengths are in tokens.
type Kind struct {
	Name string
	Pool core.Pool
	// Share is the kind's share of the arrivals; zero for a kind that only
	// sub-agents have.
	Share float64
	// SystemPrompt is the length of the prompt that all programs of the kind share.
	SystemPrompt uint32
	Turns        Pareto
	// FirstPrompt and Growth are the lengths of the text added before the first call
	// and before each later one.
	FirstPrompt LogNormal
	Growth      LogNormal
	Output      LogNormal
	// IdleTime is the time between two turns in seconds.
	IdleTime LogNormal
	// Child is the kind of the sub-agents; one is started after a call with the
	// probability ChildChance.
	Child       string
	ChildChance float64
}

// generator draws shapes from a seed.
type generator struct {
	rng   *rand.Rand
	kinds []Kind
}

func newGenerator(kinds []Kind, seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, 0x5a9e)), kinds: kinds}
}

// next draws the shape of the next root program.
func (g *generator) next() *Shape {
	at := g.rng.Float64()
	for i := range g.kinds {
		at -= g.kinds[i].Share
		if at < 0 {
			return g.shape(&g.kinds[i])
		}
	}
	return g.shape(&g.kinds[0])
}

func (g *generator) shape(k *Kind) *Shape {
	s := &Shape{Kind: k.Name, Pool: k.Pool}
	n := int(k.Turns.draw(g.rng))
	for i := range n {
		s.Turns = append(s.Turns, g.turn(k, i == 0, i == n-1))
	}
	return s
}

func (g *generator) turn(k *Kind, first, last bool) Turn {
	t := Turn{Output: k.Output.tokens(g.rng)}
	t.Prompt = k.Growth.tokens(g.rng)
	if first {
		t.Prompt = k.FirstPrompt.tokens(g.rng)
	}
	if last {
		return t
	}
	t.IdleTime = core.Duration(k.IdleTime.draw(g.rng) * float64(core.Second))
	if k.Child != "" && g.rng.Float64() < k.ChildChance {
		t.Child = g.shape(g.kind(k.Child))
	}
	return t
}

func (g *generator) kind(name string) *Kind { return findKind(g.kinds, name) }

func findKind(kinds []Kind, name string) *Kind {
	for i := range kinds {
		if kinds[i].Name == name {
			return &kinds[i]
		}
	}
	return nil
}

// demand is a shape's demand on a pool if each token is computed once and nothing
// waits: compute in engine seconds, and cached tokens times seconds.
type demand struct {
	compute      float64
	tokenSeconds float64
}

// addDemand adds the demand of a shape and its sub-agents to sum, by pool, and
// returns the time from its first call to its last answer in seconds.
func addDemand(sum map[core.Pool]*demand, d *Deployment, s *Shape) float64 {
	e := d.pool(s.Pool).Engine
	w := sum[s.Pool]
	if w == nil {
		w = &demand{}
		sum[s.Pool] = w
	}
	step := e.fullStep().Seconds()
	length := float64(findKind(d.Kinds, s.Kind).SystemPrompt)
	var total float64
	for _, t := range s.Turns {
		length += float64(t.Prompt) + float64(t.Output)
		prefill := float64(t.Prompt) / float64(e.PrefillRate)
		w.compute += prefill + float64(t.Output)*step/float64(e.MaxBatch)
		elapsed := prefill + float64(t.Output)*step + float64(t.IdleTime)/float64(core.Second)
		if t.Child != nil {
			elapsed += addDemand(sum, d, t.Child)
		}
		w.tokenSeconds += length * elapsed
		total += elapsed
	}
	return total
}
