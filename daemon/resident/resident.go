// Package resident runs the daemons on the users' platform: entries, which serve
// callers, and ledger members.
package resident

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/netopt"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
)

const (
	// SettingsVariable is the environment variable with the path of the settings file.
	SettingsVariable = "RHUBARBSADDLE_CONFIG"
	// memoryLimitShare is the share of the VM's memory that is set as the runtime's soft
	// memory limit. The rest is for kernel buffers and for peaks.
	memoryLimitShare = 0.7
	// gcPercent is the growth of the heap in percent that triggers a garbage collection. It
	// is below the default because memory is scarcer than CPU time on these VMs.
	gcPercent = 30
	// settingsPollPeriod is the time between two checks for a changed settings file, which
	// may change without a signal.
	settingsPollPeriod = 2 * time.Second
	// headerTimeout bounds the time to read a request's header on ports to which the
	// configured limits do not apply.
	headerTimeout = 5 * time.Second
)

// Error is a failure of one of the daemons of this package.
type Error struct {
	// Step is the operation that failed: "settings" or "listen".
	Step string
	// Peer is the file or address that the operation used.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// process is the state that both roles share.
type process struct {
	file     string
	settings *config.Resident
	log      *log.Logger
	registry *prometheus.Registry
}

// Run runs the role that the settings name until SIGTERM. Settings for experiments are
// refused unless isExperiment is set.
func Run(ctx context.Context, role string, isExperiment bool) error {
	file := os.Getenv(SettingsVariable)
	settings, err := load.Resident(file, isExperiment)
	if err != nil {
		return &Error{Step: "settings", Peer: file, Err: err}
	}
	if settings.Role != role {
		return &Error{Step: "settings", Peer: file, Err: fmt.Errorf("role is %s, the command is %s", settings.Role, role)}
	}
	limitMemory(settings)
	out := observe.NewBatchWriter(os.Stdout)
	defer out.Close()
	p := &process{file: file, settings: settings, log: newLogger(settings, out), registry: prometheus.NewRegistry()}
	p.log.Info().Str("event", "start").Str("role", role).Str("domain", settings.Domain).Bool("first_start", settings.FirstStart).Strs("disabled", settings.Experiment.Disable).Msg("")
	go p.watchSettings(ctx)
	p.serveMetrics()
	if role == config.ResidentLedger {
		err = p.runLedger(ctx)
	} else {
		err = p.runEntry(ctx)
	}
	p.log.Info().Str("event", "stop").Err(err).Msg("")
	return err
}

func limitMemory(settings *config.Resident) {
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryLimitShare * (1 << 20)))
	}
}

// newLogger returns a logger that writes JSON lines to out.
func newLogger(settings *config.Resident, out io.Writer) *log.Logger {
	level := log.InfoLevel
	if settings.Log.Level != "" {
		level = log.ParseLevel(settings.Log.Level)
	}
	return &log.Logger{
		Level:      level,
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("vm", settings.VM).Value(),
		Writer:     &log.IOWriter{Writer: out},
	}
}

// watchSettings reads the settings again on SIGHUP and when the file changes.
func (p *process) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	lastModified := p.modTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if p.modTime().Equal(lastModified) {
				continue
			}
		}
		lastModified = p.modTime()
		p.reload()
	}
}

func (p *process) modTime() time.Time {
	info, err := os.Stat(p.file)
	if err != nil {
		p.log.Warn().Str("event", "settings_unreadable").Err(err).Msg("keeping the active settings")
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that can change while the process runs, which is only the
// log level. Other settings take effect at the next start.
func (p *process) reload() {
	settings, err := load.Resident(p.file, p.settings.Experiment.Allowed)
	if err != nil {
		p.log.Error().Str("event", "reload_failed").Err(err).Msg("keeping the active settings")
		return
	}
	if settings.Log.Level != "" {
		p.log.SetLevel(log.ParseLevel(settings.Log.Level))
	}
	p.log.Info().Str("event", "reload").Str("level", settings.Log.Level).Msg("")
}

// serveMetrics serves the metrics if the settings name an address for them. A failure
// is logged and not fatal.
func (p *process) serveMetrics() {
	addr := p.settings.Listen.Metrics
	if addr == "" {
		return
	}
	listener, err := netopt.ListenConfig().Listen(context.Background(), "tcp", addr)
	if err != nil {
		p.log.Error().Str("event", "metrics_off").Str("peer", addr).Err(err).Msg("")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(boundConns(server, listener, operatorConnections)); err != nil {
			p.log.Error().Str("event", "metrics_off").Str("peer", addr).Err(err).Msg("")
		}
	}()
}

// newFollower returns a follower of the platform's store that has not been started.
func (p *process) newFollower(peers func() []string, changed func(discovery.Snapshot)) *discovery.Follower {
	decoder := discovery.Decoder{
		ConfigKey: platform.ConfigKey, TargetPrefix: platform.TargetPrefix,
		Config: platform.DecodeConfig, Target: platform.DecodeTarget, TargetID: platform.TargetID,
	}
	return &discovery.Follower{
		Directory: discovery.NewDirectory(decoder, p.log, changed),
		Store:     platform.NewStore(p.settings.Store),
		Members:   peers,
	}
}

// ledgerAddrs returns the addresses of the other ledger members in the view, in random
// order, or the configured seeds if the view has no other members.
func (p *process) ledgerAddrs(s discovery.Snapshot) []string {
	addrs := make([]string, 0, len(p.settings.Seeds)+len(s.View.Seats))
	for _, seat := range s.View.Seats {
		if seat.Name != p.settings.VM {
			addrs = append(addrs, seat.Addr)
		}
	}
	if len(addrs) == 0 {
		addrs = append(addrs, p.settings.Seeds...)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}
