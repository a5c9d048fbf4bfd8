// Package discovery follows what the platform's store holds for the product: the
// operators' configuration, the targets' entries and the ledger's membership.
// While the store is away, ledger members tell what they last read of it.
package discovery

import (
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

// maxChanges bounds the changes that are kept for followers. One that lags behind
// more reads everything.
const maxChanges = 512

// tunnelMemory is how long an entry that is not heard of any more is told to
// others. One that ended only costs them a connection attempt.
const tunnelMemory = 30 * time.Second

// Directory is what a process knows of the store. Invariants: the configuration
// and the membership never go back to an older version, and a key never to an older
// revision.
type Directory struct {
	decoder Decoder
	log     *log.Logger
	// changed is called after each change, one call at a time.
	changed func(Snapshot)

	mu sync.Mutex
	// entries holds all keys, removed ones included.
	entries  map[string]core.StoreRecord
	revision int64
	// changes are the latest changes, oldest first; since is the revision before
	// the first of them.
	changes  []core.StoreRecord
	since    int64
	current  bool
	news     chan struct{}
	tunnels  map[string]tunnel
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
		entries: make(map[string]core.StoreRecord), registry: catalog.NewRegistry(), news: make(chan struct{}), tunnels: make(map[string]tunnel),
	}
}

// ApplySnapshot takes a full reading of the store as of a revision.
func (d *Directory) ApplySnapshot(entries []core.StoreRecord, revision int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	changed := false
	for _, key := range slices.Sorted(maps.Keys(d.entries)) {
		if known := d.entries[key]; !listed[key] && known.Value != nil && known.Revision <= revision {
			changed = d.apply(core.StoreRecord{Key: key, Revision: revision}, now) || changed
		}
	}
	for _, e := range entries {
		changed = d.apply(e, now) || changed
	}
	d.revision = revision
	if changed {
		d.publish()
	}
}

// ApplyChanges takes changes that a watch reported, up to a revision.
func (d *Directory) ApplyChanges(entries []core.StoreRecord, revision int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, e := range entries {
		changed = d.apply(e, now) || changed
		revision = max(revision, e.Revision)
	}
	d.revision = max(d.revision, revision)
	if changed {
		d.publish()
	}
}

// SetStoreConnected records whether the store answered last.
func (d *Directory) SetStoreConnected(current bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != current {
		d.current = current
		d.wake()
	}
}

// RecordOutage records that the store failed to answer.
func (d *Directory) RecordOutage(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.RecordOutage(now)
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

// apply takes one entry and reports whether it was news. A nil value means that
// the key is gone.
func (d *Directory) apply(e core.StoreRecord, now time.Time) bool {
	known, ok := d.entries[e.Key]
	if ok && (e.Revision <= known.Revision || e.Value == nil && known.Value == nil) || !ok && e.Value == nil {
		return false
	}
	d.entries[e.Key] = e
	d.remember(e)
	switch {
	case e.Value == nil:
		if strings.HasPrefix(e.Key, d.decoder.TargetPrefix) {
			d.registry.Remove(d.decoder.TargetID(e.Key), now)
		}
	case e.Key == d.decoder.ConfigKey:
		d.applyConfig(e.Value)
	case e.Key == ViewKey:
		d.applyView(e.Value)
	case strings.HasPrefix(e.Key, d.decoder.TargetPrefix):
		d.applyTarget(e, now)
	}
	return true
}

// remember keeps a change for followers.
func (d *Directory) remember(e core.StoreRecord) {
	if len(d.changes) == 0 {
		d.since = d.revision
	}
	d.changes = append(d.changes, e)
	if len(d.changes) > maxChanges {
		d.since = max(d.since, d.changes[0].Revision)
		d.changes = slices.Delete(d.changes, 0, 1)
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

func (d *Directory) applyTarget(e core.StoreRecord, now time.Time) {
	target, err := d.decoder.Target(e.Key, e.Value)
	if err != nil {
		d.log.Warn().Str("event", "target_rejected").Str("key", e.Key).Err(err).Msg("the entry names no target")
		d.registry.Remove(d.decoder.TargetID(e.Key), now)
		return
	}
	d.registry.Put(target)
}

// publish tells everybody who waits for news.
func (d *Directory) publish() {
	d.changed(d.snapshot())
	d.wake()
}

// wake ends the waits for news.
func (d *Directory) wake() {
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Directory) snapshot() Snapshot {
	return Snapshot{Config: d.config, View: d.view, Targets: d.registry.Targets()}
}

// Snapshot returns the directory as it is.
func (d *Directory) Snapshot() Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

// View returns the membership in force.
func (d *Directory) View() ledger.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// HasConfig says whether a configuration is known.
func (d *Directory) HasConfig() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config != nil
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.news
}

// Value returns an entry's value, or nil.
func (d *Directory) Value(key string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[key].Value
}

// tunnel is an entry through which members can be reached.
type tunnel struct {
	addr string
	seen time.Time
}

// RecordTunnel records an entry that passes connections on.
func (d *Directory) RecordTunnel(vm, addr string, now time.Time) {
	if vm == "" || addr == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tunnels[vm] = tunnel{addr: addr, seen: now}
}

// Tunnels returns the addresses of the entries that pass connections on, but not
// that of the VM itself.
func (d *Directory) Tunnels(self string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addrs []string
	for _, vm := range slices.Sorted(maps.Keys(d.tunnels)) {
		if vm != self {
			addrs = append(addrs, d.tunnels[vm].addr)
		}
	}
	return addrs
}

// wireTunnels returns the tunnels in the form that processes exchange, and forgets
// old ones.
func (d *Directory) wireTunnels(now time.Time) []*ledgerpb.Tunnel {
	var all []*ledgerpb.Tunnel
	for vm, t := range d.tunnels {
		if now.Sub(t.seen) > tunnelMemory {
			delete(d.tunnels, vm)
			continue
		}
		all = append(all, &ledgerpb.Tunnel{Vm: vm, Addr: t.addr})
	}
	return all
}

// MergeView takes a membership that another process told.
func (d *Directory) MergeView(view ledger.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if view.Version > d.view.Version {
		d.setView(view)
		d.publish()
	}
}

// State returns all that other processes may learn from this one.
func (d *Directory) State() *ledgerpb.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(0)
}

// state returns what is news to a process whose knowledge is as of a revision.
func (d *Directory) state(after int64) *ledgerpb.State {
	state := &ledgerpb.State{View: d.view.Encode(), Revision: d.revision, Current: d.current, Tunnels: d.wireTunnels(time.Now())}
	if after >= d.revision || after > 0 && after >= d.since {
		state.ChangesOnly = true
		for _, e := range d.changes {
			if e.Revision > after {
				state.Entries = append(state.Entries, wireEntry(e))
			}
		}
		return state
	}
	for _, key := range slices.Sorted(maps.Keys(d.entries)) {
		if e := d.entries[key]; e.Value != nil {
			state.Entries = append(state.Entries, wireEntry(e))
		}
	}
	return state
}

func wireEntry(e core.StoreRecord) *ledgerpb.Entry {
	return &ledgerpb.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Value == nil}
}

// ChangesSince returns what is news to a process whose knowledge is as of a revision. If
// that is nothing, the channel is closed when there is some.
func (d *Directory) ChangesSince(after int64) (*ledgerpb.State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.state(after)
	if d.revision > after {
		return state, nil
	}
	return state, d.news
}

// Revision returns the store's revision that the directory is as of.
func (d *Directory) Revision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Merge takes what another process knows.
func (d *Directory) Merge(state *ledgerpb.State, now time.Time) {
	if view, err := ledger.DecodeView(state.GetView()); err == nil {
		d.MergeView(view)
	}
	for _, t := range state.GetTunnels() {
		d.RecordTunnel(t.GetVm(), t.GetAddr(), now)
	}
	entries := make([]core.StoreRecord, 0, len(state.GetEntries()))
	for _, e := range state.GetEntries() {
		entry := core.StoreRecord{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision()}
		if e.GetDeleted() {
			entry.Value = nil
		} else if entry.Value == nil {
			entry.Value = []byte{}
		}
		entries = append(entries, entry)
	}
	if state.GetChangesOnly() {
		d.ApplyChanges(entries, state.GetRevision(), now)
		return
	}
	d.ApplySnapshot(entries, state.GetRevision(), now)
}
