package discovery_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

var now = time.Unix(1000, 0)

func quiet() *log.Logger { return &log.Logger{Level: log.PanicLevel} }

func newDirectory() *discovery.Directory {
	return discovery.NewDirectory(discovery.Decoder{
		ConfigKey: platform.ConfigKey, TargetPrefix: platform.TargetPrefix,
		Config: platform.DecodeConfig, Target: platform.DecodeTarget, TargetID: platform.TargetID,
	}, quiet(), func(discovery.Snapshot) {})
}

func config(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"limits":{}}`, version)
}

func record(key string, revision int64, value string) core.StoreRecord {
	return core.StoreRecord{Key: key, Revision: revision, Value: []byte(value)}
}

const target = `{"service":"s","address":"10.0.0.1:1","state":"ready"}`

func TestDirectoryNeverRevertsToOlderState(t *testing.T) {
	d := newDirectory()
	d.ApplySnapshot([]core.StoreRecord{record(platform.ConfigKey, 5, string(config(7)))}, 5, now)
	// A lagging source sends older records.
	d.ApplyChanges([]core.StoreRecord{record(platform.ConfigKey, 4, string(config(6)))}, 4, now)
	d.ApplySnapshot(nil, 3, now)
	assert.EqualValues(t, 7, d.Snapshot().Config.Version)
	// An older version is rejected even if it was written later.
	d.ApplyChanges([]core.StoreRecord{record(platform.ConfigKey, 6, string(config(6)))}, 6, now)
	assert.EqualValues(t, 7, d.Snapshot().Config.Version)
	d.ApplyChanges([]core.StoreRecord{record(platform.ConfigKey, 8, "no JSON")}, 8, now)
	assert.EqualValues(t, 7, d.Snapshot().Config.Version)
	assert.EqualValues(t, 8, d.Revision())
}

func TestDelayedWriteDoesNotUndoRemoval(t *testing.T) {
	d := newDirectory()
	d.ApplySnapshot([]core.StoreRecord{record("servers/a", 2, target), record("servers/b", 3, target)}, 3, now)
	d.ApplyChanges([]core.StoreRecord{{Key: "servers/a", Revision: 5}}, 5, now)
	d.ApplyChanges([]core.StoreRecord{record("servers/a", 4, target)}, 4, now)
	require.Len(t, d.Snapshot().Targets, 1)
	assert.Equal(t, "b", d.Snapshot().Targets[0].ID)
}

func TestFollowersGetChangesOrCompleteState(t *testing.T) {
	leader, follower := newDirectory(), newDirectory()
	leader.ApplySnapshot([]core.StoreRecord{record("servers/a", 2, target), record(platform.ConfigKey, 3, string(config(1)))}, 3, now)
	state, _ := leader.ChangesSince(0)
	assert.False(t, state.GetChangesOnly())
	follower.Merge(state, now)
	assert.Equal(t, leader.Snapshot().Targets, follower.Snapshot().Targets)

	state, updated := leader.ChangesSince(follower.Revision())
	assert.Empty(t, state.GetEntries())
	leader.ApplyChanges([]core.StoreRecord{record("servers/b", 5, target), {Key: "servers/a", Revision: 6}}, 6, now)
	<-updated
	state, _ = leader.ChangesSince(follower.Revision())
	assert.True(t, state.GetChangesOnly())
	assert.Len(t, state.GetEntries(), 2)
	follower.Merge(state, now)
	assert.Equal(t, leader.Snapshot().Targets, follower.Snapshot().Targets)

	// A follower that lags far behind gets the complete state.
	for i := range int64(1000) {
		leader.ApplyChanges([]core.StoreRecord{record(fmt.Sprint("servers/x", i%7), 10+i, target)}, 10+i, now)
	}
	state, _ = leader.ChangesSince(6)
	assert.False(t, state.GetChangesOnly())
	follower.Merge(state, now)
	assert.Equal(t, leader.Snapshot().Targets, follower.Snapshot().Targets)
}

// assertClosed asserts that followers which wait for a change are told of one.
func assertClosed(t *testing.T, changed <-chan struct{}) {
	t.Helper()
	select {
	case <-changed:
	default:
		assert.Fail(t, "followers are not told of the change")
	}
}

// The store's pages are as of different revisions. Followers took the highest revision of a
// record for that up to which they had all changes, and missed what was written to keys of earlier
// pages meanwhile, such as a configuration, for good.
func TestFollowersGetChangesToKeysOfEarlierPages(t *testing.T) {
	member, follower := newDirectory(), newDirectory()
	merge := func() {
		state, _ := member.ChangesSince(follower.Revision())
		follower.Merge(state, now)
	}
	pages := []core.StoreRecord{record(platform.ConfigKey, 3, string(config(1))), record("servers/a", 4, target), record("servers/z", 9, target)}
	member.ApplySnapshot(pages, 5, now)
	merge()
	assert.EqualValues(t, 5, follower.Revision())
	_, changed := member.ChangesSince(follower.Revision())
	member.ApplyChanges([]core.StoreRecord{record("op/retire/m1", 6, "{}"), record(platform.ConfigKey, 7, string(config(2))), {Key: "servers/a", Revision: 8}}, 8, now)
	assertClosed(t, changed)
	merge()
	assert.EqualValues(t, 2, follower.Snapshot().Config.Version)
	assert.Equal(t, "{}", string(follower.Value("op/retire/m1")))
	require.Len(t, follower.Snapshot().Targets, 1)
	assert.Equal(t, "z", follower.Snapshot().Targets[0].ID)

	_, changed = member.ChangesSince(follower.Revision())
	member.ApplyChanges([]core.StoreRecord{record("servers/z", 9, target)}, 9, now)
	assertClosed(t, changed)
	merge()
	assert.EqualValues(t, 9, follower.Revision(), "the member has nothing new, but is further")
}

// A follower of two members knew a key that came and went between two snapshots of one of them,
// and never heard that it was gone.
func TestFollowerDropsKeysThatOneMemberNeverSaw(t *testing.T) {
	early, late, follower := newDirectory(), newDirectory(), newDirectory()
	early.ApplySnapshot([]core.StoreRecord{record("servers/a", 2, target)}, 4, now)
	late.ApplySnapshot([]core.StoreRecord{record("servers/a", 2, target), record("servers/b", 5, target)}, 5, now)
	state, _ := late.ChangesSince(0)
	follower.Merge(state, now)
	require.Len(t, follower.Snapshot().Targets, 2)
	early.ApplySnapshot([]core.StoreRecord{record("servers/a", 2, target), record("servers/c", 7, target)}, 8, now)
	state, _ = early.ChangesSince(follower.Revision())
	follower.Merge(state, now)
	assert.Equal(t, early.Snapshot().Targets, follower.Snapshot().Targets)
}

// A record of a later page stays a change for followers when the content is read again before
// the watch has delivered it.
func TestFollowersGetRecordsNewerThanTheRevision(t *testing.T) {
	member, follower := newDirectory(), newDirectory()
	follower.ApplySnapshot([]core.StoreRecord{record("servers/a", 2, target)}, 5, now)
	for range 2 {
		member.ApplySnapshot([]core.StoreRecord{record("servers/a", 2, target), record("servers/z", 9, target)}, 5, now)
	}
	member.ApplyChanges(nil, 9, now)
	state, _ := member.ChangesSince(follower.Revision())
	follower.Merge(state, now)
	assert.Len(t, follower.Snapshot().Targets, 2)
}

// Entries write nothing to the store. They announce their tunnels to members, and members
// pass the addresses on to other entries.
func TestTunnelsAreReceivedFromMembers(t *testing.T) {
	member, one := newDirectory(), newDirectory()
	member.RecordTunnel("entry-1", "10.0.0.1:1", time.Now())
	member.RecordTunnel("entry-2", "10.0.0.2:1", time.Now())
	member.RecordTunnel("old", "10.0.0.3:1", time.Now().Add(-time.Hour))
	member.RecordTunnel("", "", time.Now())
	state, _ := member.ChangesSince(0)
	one.Merge(state, time.Now())
	assert.Equal(t, []string{"10.0.0.2:1"}, one.Tunnels("entry-1"))
}

func TestDirectFollowerCatchesUpAfterOutages(t *testing.T) {
	server := platformtest.NewStore()
	t.Cleanup(server.Close)
	d := newDirectory()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &discovery.Follower{Directory: d, Store: platform.NewStore(server.Addr()), Members: func() []string { return nil }}
	go f.Run(ctx)
	version := func() int64 {
		if c := d.Snapshot().Config; c != nil {
			return c.Version
		}
		return 0
	}
	expect := func(v int64) {
		t.Helper()
		require.Eventually(t, func() bool { return version() == v }, 10*time.Second, 5*time.Millisecond)
	}
	server.Put(platform.ConfigKey, config(1))
	expect(1)
	server.SetDown(true)
	server.Put(platform.ConfigKey, config(2))
	time.Sleep(200 * time.Millisecond)
	assert.False(t, f.Connected())
	server.SetDown(false)
	expect(2)
	server.CompactHistory()
	server.Put(platform.ConfigKey, config(3))
	expect(3)
	assert.True(t, f.Connected())
}
