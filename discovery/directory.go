// Package discovery replicates the product's records in the platform's store: the
// operators' configuration, the targets' registrations and the ledger's membership
// view. While the store is unavailable, it gets the last known state from ledger
// members.
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

// ViewKey is the store key of the ledger's membership view.
const ViewKey = "rhubarbsaddle/ledger/view"

// Decoder decodes the store's values that operators and targets write.
type Decoder struct {
	// ConfigKey is the key of the operators' configuration.
	ConfigKey string
	// TargetPrefix is the prefix of the keys of targets' registrations.
	TargetPrefix string
	Config       func(value []byte) (*catalog.Config, error)
	Target       func(key string, value []byte) (catalog.Target, error)
	TargetID     func(key string) string
}

// maxChanges bounds the changes that are buffered for followers. A follower that lags
// behind by more gets the complete state.
const maxChanges = 512

// tunnelTTL is how long an entry's tunnel address is sent to other processes after it
// was last announced. An outdated address only costs them a failed connection attempt.
const tunnelTTL = 30 * time.Second

// maxTunnelsPerState bounds the tunnels in one response to a follower. Followers ask several
// times a second and collect what they get.
const maxTunnelsPerState = 4

// Directory is a process's copy of the store's content. Invariants: the configuration
// and the membership view never revert to an older version, and no key reverts to an
// older revision.
type Directory struct {
	decoder Decoder
	log     *log.Logger
	// onChange is called after each change, with mu held.
	onChange func(Snapshot)

	mu sync.Mutex
	// records holds the records of all keys, including removed ones.
	records map[string]core.StoreRecord
	// revision is that up to which records has all changes. Single records may be newer: the
	// store's content is read in pages, each as of a later revision than the one before.
	revision int64
	// changes are changes after changesFrom, in the order in which they were applied. They are
	// complete for followers whose revision is at least changesFrom.
	changes     []core.StoreRecord
	changesFrom int64
	// storeConnected is set while this process has a connection to the store itself.
	storeConnected bool
	// updated is closed and replaced at each change.
	updated chan struct{}
	tunnels map[string]tunnel
	config  *catalog.Config
	view    ledger.View
	// encodedView is view in the form in which it is sent.
	encodedView []byte
	registry    *catalog.Registry
}

// Snapshot is the decoded content of a directory at one time.
type Snapshot struct {
	// Config is nil until a configuration is known.
	Config  *catalog.Config
	View    ledger.View
	Targets []catalog.Target
}

// NewDirectory returns an empty directory. It calls onChange after each change, one call
// at a time; onChange must not call the directory's methods.
func NewDirectory(decoder Decoder, logger *log.Logger, onChange func(Snapshot)) *Directory {
	return &Directory{
		decoder: decoder, log: logger, onChange: onChange,
		records: make(map[string]core.StoreRecord), registry: catalog.NewRegistry(), updated: make(chan struct{}), tunnels: make(map[string]tunnel),
	}
}

// ApplySnapshot replaces the records with the store's content, complete up to a revision. It
// ignores a snapshot that is older than the directory. Followers that lack changes before that
// revision need the complete state: they may know keys that came and went in between.
func (d *Directory) ApplySnapshot(records []core.StoreRecord, revision int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return
	}
	d.revision, d.changesFrom = revision, max(d.changesFrom, revision)
	d.changes = slices.DeleteFunc(d.changes, func(e core.StoreRecord) bool { return e.Revision <= d.changesFrom })
	listed := make(map[string]bool, len(records))
	for _, e := range records {
		listed[e.Key] = true
	}
	changed := false
	for _, key := range slices.Sorted(maps.Keys(d.records)) {
		if known := d.records[key]; !listed[key] && known.Value != nil && known.Revision <= revision {
			changed = d.apply(core.StoreRecord{Key: key, Revision: revision}, now) || changed
		}
	}
	for _, e := range records {
		changed = d.apply(e, now) || changed
	}
	d.publishOrWake(changed)
}

// ApplyChanges applies changes of the store. The directory then has all changes up to revision,
// or up to its own if that is higher; those to a follower that had all up to an earlier revision
// are complete from there on. The revisions of records say nothing of other records.
func (d *Directory) ApplyChanges(records []core.StoreRecord, revision int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, e := range records {
		changed = d.apply(e, now) || changed
	}
	if revision > d.revision {
		d.revision = revision
		d.publishOrWake(changed)
	} else if changed {
		d.publish()
	}
}

// SetStoreConnected records whether this process can reach the store.
func (d *Directory) SetStoreConnected(connected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeConnected != connected {
		d.storeConnected = connected
		d.wake()
	}
}

// RecordOutage records that the store was unavailable at now.
func (d *Directory) RecordOutage(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registry.RecordOutage(now)
}

// Expire removes targets whose registrations expired during an outage, unless they have
// registered again in time.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.registry.Expire(now) {
		d.log.Info().Str("event", "targets_expired").Msg("removed targets that did not register again after the store's outage")
		d.publish()
	}
}

// apply applies one record and reports whether it changed anything. A nil value means
// that the key was removed.
func (d *Directory) apply(e core.StoreRecord, now time.Time) bool {
	known, ok := d.records[e.Key]
	if ok && (e.Revision <= known.Revision || e.Value == nil && known.Value == nil) || !ok && e.Value == nil {
		return false
	}
	d.records[e.Key] = e
	d.bufferChange(e)
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

// bufferChange buffers a change for followers that have all changes before it.
func (d *Directory) bufferChange(e core.StoreRecord) {
	if e.Revision <= d.changesFrom {
		return
	}
	d.changes = append(d.changes, e)
	if len(d.changes) > maxChanges {
		d.changesFrom = max(d.changesFrom, d.changes[0].Revision)
		d.changes = slices.Delete(d.changes, 0, 1)
	}
}

func (d *Directory) applyConfig(value []byte) {
	config, err := d.decoder.Config(value)
	if err != nil {
		d.log.Error().Str("event", "config_rejected").Err(err).Msg("new configuration is invalid; keeping the current one")
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
		d.log.Error().Str("event", "view_rejected").Err(err).Msg("new membership view is invalid; keeping the current one")
		return
	}
	d.setView(view)
}

func (d *Directory) setView(view ledger.View) {
	if view.Version <= d.view.Version {
		return
	}
	d.view, d.encodedView = view, view.Encode()
	d.log.Info().Str("event", "view_applied").Uint64("version", view.Version).Interface("seats", view.Seats).Msg("")
}

func (d *Directory) applyTarget(e core.StoreRecord, now time.Time) {
	target, err := d.decoder.Target(e.Key, e.Value)
	if err != nil {
		d.log.Warn().Str("event", "target_rejected").Str("key", e.Key).Err(err).Msg("registration is invalid; removing its target")
		d.registry.Remove(d.decoder.TargetID(e.Key), now)
		return
	}
	target.SetWarmAt(now)
	d.registry.Put(target)
}

// publish passes the new snapshot to onChange and wakes all waiters.
func (d *Directory) publish() {
	d.onChange(d.snapshot())
	d.wake()
}

// publishOrWake passes a changed snapshot on, or only tells followers of a new revision: a record
// that the directory already had may be among the changes up to it.
func (d *Directory) publishOrWake(changed bool) {
	if changed {
		d.publish()
		return
	}
	d.wake()
}

// wake notifies all waiters of a change.
func (d *Directory) wake() {
	close(d.updated)
	d.updated = make(chan struct{})
}

func (d *Directory) snapshot() Snapshot {
	return Snapshot{Config: d.config, View: d.view, Targets: d.registry.Targets()}
}

// Snapshot returns the current content.
func (d *Directory) Snapshot() Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

// View returns the current membership view.
func (d *Directory) View() ledger.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// HasConfig reports whether a configuration is known.
func (d *Directory) HasConfig() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config != nil
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updated
}

// Value returns the value of a key, or nil.
func (d *Directory) Value(key string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records[key].Value
}

// tunnel is an entry through which ledger members can be reached.
type tunnel struct {
	addr     string
	lastSeen time.Time
}

// RecordTunnel records the address of an entry that tunnels connections.
func (d *Directory) RecordTunnel(vm, addr string, now time.Time) {
	if vm == "" || addr == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tunnels[vm] = tunnel{addr: addr, lastSeen: now}
}

// Tunnels returns the addresses of the entries that tunnel connections, except the one
// on the VM self.
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

// encodeTunnels removes expired tunnels and returns up to maxTunnelsPerState of the others,
// in the random order of a map, as protobuf messages.
func (d *Directory) encodeTunnels(now time.Time) []*ledgerpb.Tunnel {
	var some []*ledgerpb.Tunnel
	for vm, t := range d.tunnels {
		if now.Sub(t.lastSeen) > tunnelTTL {
			delete(d.tunnels, vm)
			continue
		}
		if len(some) < maxTunnelsPerState {
			some = append(some, &ledgerpb.Tunnel{Vm: vm, Addr: t.addr})
		}
	}
	return some
}

// MergeView applies a membership view that another process has sent, if it is newer.
func (d *Directory) MergeView(view ledger.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if view.Version > d.view.Version {
		d.setView(view)
		d.publish()
	}
}

// State returns the complete state for other processes.
func (d *Directory) State() *ledgerpb.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateSince(0)
}

// stateSince returns what has changed since a revision, or the complete state if the
// buffered changes don't go back that far.
func (d *Directory) stateSince(after int64) *ledgerpb.State {
	state := &ledgerpb.State{View: d.encodedView, Revision: d.revision, Current: d.storeConnected, Tunnels: d.encodeTunnels(time.Now())}
	if after >= d.revision || after > 0 && after >= d.changesFrom {
		state.ChangesOnly = true
		for _, e := range d.changes {
			if e.Revision > after {
				state.Entries = append(state.Entries, encodeRecord(e))
			}
		}
		return state
	}
	for _, key := range slices.Sorted(maps.Keys(d.records)) {
		if e := d.records[key]; e.Value != nil {
			state.Entries = append(state.Entries, encodeRecord(e))
		}
	}
	return state
}

// encodeRecord returns a record as a protobuf message.
func encodeRecord(e core.StoreRecord) *ledgerpb.Entry {
	return &ledgerpb.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Value == nil}
}

// ChangesSince returns the state for a process that has all changes up to the revision
// after. If nothing has changed since, the returned channel is closed at the next
// change; otherwise it is nil.
func (d *Directory) ChangesSince(after int64) (*ledgerpb.State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.stateSince(after)
	if d.revision > after {
		return state, nil
	}
	return state, d.updated
}

// Revision returns the store's revision up to which the directory has all changes.
func (d *Directory) Revision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Merge applies the state that another process has sent.
func (d *Directory) Merge(state *ledgerpb.State, now time.Time) {
	if view, err := ledger.DecodeView(state.GetView()); err == nil {
		d.MergeView(view)
	}
	for _, t := range state.GetTunnels() {
		d.RecordTunnel(t.GetVm(), t.GetAddr(), now)
	}
	records := make([]core.StoreRecord, 0, len(state.GetEntries()))
	for _, e := range state.GetEntries() {
		record := core.StoreRecord{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision()}
		if e.GetDeleted() {
			record.Value = nil
		} else if record.Value == nil {
			record.Value = []byte{}
		}
		records = append(records, record)
	}
	if state.GetChangesOnly() {
		d.ApplyChanges(records, state.GetRevision(), now)
		return
	}
	d.ApplySnapshot(records, state.GetRevision(), now)
}
