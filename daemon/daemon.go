// Package daemon runs the process that a settings file describes: an entry or
// a sidecar, with the adapters of the platform and the target.
package daemon

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/etcdjson"
	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/vmlist"
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/daemon/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
	"github.com/rhubarbsaddle/rhubarbsaddle/engine/service"
	"github.com/rhubarbsaddle/rhubarbsaddle/store"
)

// watchSilence is the time without a message after which a watch of the
// key-value service is given up.
const watchSilence = 5 * time.Second

// process is a running entry or sidecar.
type process interface {
	// Run serves until ctx is done, and shuts down gracefully then.
	Run(ctx context.Context, drainTimeout time.Duration) error
}

// Run runs the process of a settings file until ctx is done, and shuts it down
// gracefully then.
func Run(ctx context.Context, settings *config.Node, logger *log.Logger) error {
	kv, err := NewStore(settings)
	if err != nil {
		return err
	}
	p, drainTimeout, err := start(settings, kv, logger)
	if err != nil {
		return err
	}
	return p.Run(ctx, drainTimeout)
}

func start(settings *config.Node, kv store.Store, logger *log.Logger) (process, time.Duration, error) {
	if settings.Role == "sidecar" {
		p, err := sidecar.Start(sidecar.Options{
			Settings: *settings,
			Store:    kv,
			VMs:      NewVMs(settings),
			Target:   NewTarget(settings.Target),
			Log:      logger,
		})
		return p, sidecar.DefaultDrainTimeout, err
	}
	p, err := entry.Start(entry.Options{
		Settings: *settings,
		Store:    kv,
		VMs:      NewVMs(settings),
		Log:      logger,
	})
	return p, entry.DefaultDrainTimeout, err
}

// NewStore returns the key-value service of a process.
func NewStore(settings *config.Node) (store.Store, error) {
	return etcdjson.New(etcdjson.Options{
		Endpoints:        settings.Store.Endpoints,
		Prefix:           settings.Store.Prefix,
		Timeout:          time.Duration(settings.Store.Timeout),
		WatchIdleTimeout: watchSilence,
	})
}

// NewVMs returns the VM list of a process.
func NewVMs(settings *config.Node) vmlist.Source {
	if settings.VMList.File != "" {
		return vmlist.File{Path: settings.VMList.File}
	}
	return vmlist.HTTP{URL: settings.VMList.URL}
}

// NewTarget returns the target that a sidecar stands beside.
func NewTarget(target config.Target) engine.Target {
	if target.Kind == config.PoolModel {
		return openai.New(target.Address, openai.Options{})
	}
	return service.New(target.Address)
}

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(settings *config.Node, w io.Writer) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(settings.Log.Level),
		TimeFormat: time.RFC3339Nano,
		Context: log.NewContext(nil).Str("vm", settings.VM).Str("role", settings.Role).
			Str("domain", settings.Domain).Value(),
		Writer: &log.IOWriter{Writer: &lineWriter{w: w}},
	}
}

// lineWriter passes one line on at a time: the logger is used by many
// goroutines and leaves their order to its writer.
type lineWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write passes a line on.
func (l *lineWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(line)
}
