package soak

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Sizes of the cluster under test.
const (
	entriesPerDomain = 2
	enginesPerDomain = 1
	toolsPerDomain   = 1

	slots                  = 12
	replicas               = 2
	maxTurns               = 24
	maxDepth               = 2
	maxProgramBudgetTokens = 40_000
	// smallBudget is an account budget in tokens that is exhausted during a run.
	smallBudget = 3_000_000
)

// Names in the configuration.
const (
	modelPool = core.Pool("engines")
	toolPool  = core.Pool("tools")
	agentKind = "agent"
)

// domains are the failure domains of the cluster under test.
var domains = []core.Domain{"milano-a", "milano-b", "torino-c"}

// accounts are the client accounts; the last one has a small budget.
var accounts = []core.Account{"circuit", "clinics", "schools", "trial"}

func duration(d time.Duration) config.Duration { return config.Duration(d) }

// settings returns the configuration of a generation. Generations differ in
// the order in which waiting calls are started.
func settings(generation uint64) *config.Set {
	order := []string{"fifo", "las", "slack"}[generation%3]
	set := &config.Set{
		Deployment: "soak",
		Ownership: config.Ownership{
			Slots:           slots,
			Replicas:        replicas,
			Heartbeat:       duration(250 * time.Millisecond),
			SuspectAfter:    duration(time.Second),
			VMListLag:       duration(5 * time.Second),
			AnswerRetention: duration(30 * time.Second),
		},
		Pools: []config.Pool{
			{
				Name: string(modelPool), Kind: config.PoolModel, Model: "m",
				Policy:      config.Policy{Order: order},
				Retry:       config.Retry{Ratio: 0.2, Burst: 20, Backoff: duration(50 * time.Millisecond)},
				Engine:      config.Engine{MaxBatch: 16, CacheTokens: 200_000, PrefillRate: 20_000, StepTime: duration(8 * time.Millisecond)},
				CallTimeout: duration(20 * time.Second),
			},
			{
				Name: string(toolPool), Kind: config.PoolTool,
				Retry:       config.Retry{Ratio: 0.2, Burst: 20, Backoff: duration(50 * time.Millisecond)},
				CallTimeout: duration(8 * time.Second),
			},
		},
		Programs: []config.ProgramKind{{
			Name: agentKind, Pools: []string{string(modelPool), string(toolPool)},
			BudgetTokens: maxProgramBudgetTokens, MaxTurns: maxTurns, MaxDepth: maxDepth,
			MaxAge: duration(10 * time.Minute), MaxIdle: duration(time.Minute),
			Deadline: duration(30 * time.Second),
		}},
	}
	for _, d := range domains {
		set.Domains = append(set.Domains, config.Domain{Name: string(d), Region: "north"})
	}
	for _, a := range accounts {
		set.Accounts = append(set.Accounts, config.Account{Name: string(a), Programs: []string{agentKind}, Weight: 1})
	}
	set.Accounts[len(set.Accounts)-1].BudgetTokens = smallBudget
	return set
}
