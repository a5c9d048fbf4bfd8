// Package discovery follows what the platform's store holds for the product: the
// operators' configuration, the targets' entries and the ledger's membership.
// While the store is away, ledger members tell what they last read of it.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// ViewKey is where the ledger's membership lies in the store.
const ViewKey = "rhubarbsaddle/ledger/view"

// EntryPrefix stands before the keys at which entries tell the address of their
// tunnel.
const EntryPrefix = "rhubarbsaddle/entries/"

// Decoder reads the values that the platform's other users write.
type Decoder struct {
	// ConfigKey is where the operators' configuration lies.
	ConfigKey string
	// TargetPrefix stands before the keys of targets' entries.
	TargetPrefix string
	Config       func(value []byte) (*catalog.Config, error)
	Target       func(key string, value []byte) (catalog.Target, error)
	TargetID     func(key string) string
}

// Directory is what a process knows of the store. Invariant: the configuration
// and the membership never go back to an older version.
type Directory struct {
	decoder Decoder
	log     *log.Logger
	// changed is called after each change, one call at a time.
	changed func(Snapshot)

	mu       sync.Mutex
	entries  map[string][]byte
	revision int64
	config   *catalog.Config
	view     ledger.View
	registry *catalog.Registry
}

// Snapshot is the directory at one moment.
type Snapshot struct {
	// Config is nil while none is known.
	Config  *catalog.Config
	View    ledger.View
	Targets []catalog.Target
}

// NewDirectory returns an empty directory.
func NewDirectory(decoder Decoder, logger *log.Logger, changed func(Snapshot)) *Directory {
	return &Directory{
		decoder: decoder, log: logger, changed: changed,
		entries: make(map[string][]byte), registry: catalog.NewRegistry(),
	}
}

// Replace takes a full reading of the store as of a revision.
func (d *Directory) Replace(entries []core.StoreEntry, revision int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return
	}
	fresh := make(map[string][]byte, len(entries))
	for _, e := range entries {
		fresh[e.Key] = e.Value
	}
	for _, key := range slices.Collect(maps.Keys(d.entries)) {
		if _, kept := fresh[key]; !kept {
			d.apply(core.StoreEntry{Key: key}, now)
		}
	}
	for _, e := range entries {
		d.apply(e, now)
	}
	d.revision = revision
	d.publish()
}

// Change takes changes that a watch reported.
func (d *Directory) Change(entries []core.StoreEntry, now time.Time) {
	if len(entries) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.apply(e, now)
		d.revision = max(d.revision, e.Revision)
	}
	d.publish()
}

// Disturbed records that the store failed to answer.
func (d *Directory) Disturbed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.Disturbed(now)
}

// Expire drops targets whose entries lapsed in an outage and did not come back.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.registry.Expire(now) {
		d.log.Info().Str("event", "targets_expired").Msg("targets did not register again after the store's outage")
		d.publish()
	}
}

// apply takes one entry; a nil value means that the key is gone.
func (d *Directory) apply(e core.StoreEntry, now time.Time) {
	if e.Value == nil {
		delete(d.entries, e.Key)
		if strings.HasPrefix(e.Key, d.decoder.TargetPrefix) {
			d.registry.Remove(d.decoder.TargetID(e.Key), now)
		}
		return
	}
	d.entries[e.Key] = e.Value
	switch {
	case e.Key == d.decoder.ConfigKey:
		d.applyConfig(e.Value)
	case e.Key == ViewKey:
		d.applyView(e.Value)
	case strings.HasPrefix(e.Key, d.decoder.TargetPrefix):
		d.applyTarget(e, now)
	}
}

func (d *Directory) applyConfig(value []byte) {
	config, err := d.decoder.Config(value)
	if err != nil {
		d.log.Error().Str("event", "config_rejected").Err(err).Msg("the configuration in force stays")
		return
	}
	if d.config != nil && config.Version <= d.config.Version {
		return
	}
	d.config = config
	d.log.Info().Str("event", "config_applied").Int64("version", config.Version).Int("routes", len(config.Routes)).
		Dur("idle_timeout", config.Limits.IdleTimeout).Dur("header_timeout", config.Limits.HeaderTimeout).Msg("")
}

func (d *Directory) applyView(value []byte) {
	view, err := ledger.DecodeView(value)
	if err != nil {
		d.log.Error().Str("event", "view_rejected").Err(err).Msg("the membership in force stays")
		return
	}
	d.setView(view)
}

func (d *Directory) setView(view ledger.View) {
	if view.Version <= d.view.Version {
		return
	}
	d.view = view
	d.log.Info().Str("event", "view_applied").Uint64("version", view.Version).Interface("seats", view.Seats).Msg("")
}

func (d *Directory) applyTarget(e core.StoreEntry, now time.Time) {
	target, err := d.decoder.Target(e.Key, e.Value)
	if err != nil {
		d.log.Warn().Str("event", "target_rejected").Str("key", e.Key).Err(err).Msg("the entry names no target")
		d.registry.Remove(d.decoder.TargetID(e.Key), now)
		return
	}
	d.registry.Put(target)
}

func (d *Directory) publish() { d.changed(d.snapshot()) }

func (d *Directory) snapshot() Snapshot {
	return Snapshot{Config: d.config, View: d.view, Targets: d.registry.Targets()}
}

// Snapshot returns the directory as it is.
func (d *Directory) Snapshot() Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

// Value returns an entry's value, or nil.
func (d *Directory) Value(key string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[key]
}

// Entries returns the addresses of the entries' tunnels but that of the VM itself.
func (d *Directory) Entries(self string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addrs []string
	for key, value := range d.entries {
		if vm, ok := strings.CutPrefix(key, EntryPrefix); ok && vm != self {
			addrs = append(addrs, string(value))
		}
	}
	return addrs
}

// LearnView takes a membership that another process told.
func (d *Directory) LearnView(view ledger.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if view.Version > d.view.Version {
		d.setView(view)
		d.publish()
	}
}

// State returns what other processes may learn from this one.
func (d *Directory) State() *ledgerpb.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &ledgerpb.State{View: d.view.Encode(), Entries: maps.Clone(d.entries), Revision: d.revision}
}

// Learn takes what another process knows, if it is newer.
func (d *Directory) Learn(state *ledgerpb.State, now time.Time) {
	if view, err := ledger.DecodeView(state.GetView()); err == nil {
		d.LearnView(view)
	}
	entries := make([]core.StoreEntry, 0, len(state.GetEntries()))
	for key, value := range state.GetEntries() {
		entries = append(entries, core.StoreEntry{Key: key, Value: value, Revision: state.GetRevision()})
	}
	slices.SortFunc(entries, func(a, b core.StoreEntry) int { return cmp.Compare(a.Key, b.Key) })
	d.Replace(entries, state.GetRevision(), now)
}
