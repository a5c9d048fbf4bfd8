package local

import (
	"fmt"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	port "github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/service"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/tool"
)

// Model is the stand-in for one model engine.
type Model struct {
	Server *engine.Server
	Pool   string
	Addr   string
}

// Tool is the stand-in for one tool or plain service.
type Tool struct {
	Server *tool.Server
	Pool   string
	Addr   string
}

// startTargets starts the targets of all pools and their sidecars, spread over
// the failure domains.
func (d *Deployment) startTargets() error {
	domains := d.options.Config.Domains
	for p := range d.options.Config.Pools {
		pool := &d.options.Config.Pools[p]
		for i := range d.options.Targets[pool.Name] {
			vm := fmt.Sprintf("%s-%d", pool.Name, i)
			domain := domains[i%len(domains)].Name
			if err := d.startTarget(pool, vm, domain); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) startTarget(pool *config.Pool, vm, domain string) error {
	if pool.Kind == config.PoolModel {
		server := engine.NewServer(d.engineOptions(pool))
		addr, err := server.Start(loopback)
		if err != nil {
			return err
		}
		d.models = append(d.models, &Model{Server: server, Pool: pool.Name, Addr: addr})
		return d.addSidecar(vm, domain, pool, addr, openai.New(addr, openai.Options{}))
	}
	server := tool.NewServer(d.options.ToolTime)
	addr, err := server.Start(loopback)
	if err != nil {
		return err
	}
	d.tools = append(d.tools, &Tool{Server: server, Pool: pool.Name, Addr: addr})
	return d.addSidecar(vm, domain, pool, addr, service.New(addr))
}

func (d *Deployment) addSidecar(name, domain string, pool *config.Pool, addr string, target port.Target) error {
	vm := d.newVM(name, domain, core.RoleSidecar)
	vm.target = target
	vm.settings.Target = config.Target{Pool: pool.Name, Kind: pool.Kind, Address: addr}
	d.sidecars = append(d.sidecars, vm)
	return vm.Start()
}

const (
	// loadReportDelay and cacheEventDelay are the delays of an engine's load
	// reports and cache events.
	loadReportDelay = 200 * time.Millisecond
	cacheEventDelay = 50 * time.Millisecond
	// cacheEventLossInterval makes an engine lose every 50th cache event.
	cacheEventLossInterval = 50
)

func (d *Deployment) engineOptions(pool *config.Pool) engine.Options {
	params := engine.DefaultParams()
	params.MaxBatch = pool.Engine.MaxBatch
	params.CacheTokens = pool.Engine.CacheTokens
	params.PrefillRate = pool.Engine.PrefillRate
	params.StepTime = core.Duration(pool.Engine.StepTime)
	if d.options.EngineStep > 0 {
		params.StepTime = core.Duration(d.options.EngineStep)
	}
	return engine.Options{
		Params:        params,
		Model:         pool.Model,
		MaxLoadAge:    loadReportDelay,
		EventDelay:    cacheEventDelay,
		EventGapEvery: cacheEventLossInterval,
		ChecksFence:   pool.ChecksFence,
	}
}
