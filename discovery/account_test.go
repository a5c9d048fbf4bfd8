package discovery_test

import (
	"bytes"
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

// withKeys returns a record of a version of the configuration with the keys of an account.
func withKeys(version int64, keys string) core.StoreRecord {
	return record(platform.ConfigKey, version, fmt.Sprintf(`{"version":%d,"tenants":[{"name":"a","api_keys":[%s]}]}`, version, keys))
}

func holdsKey(d *discovery.Directory, key string) bool {
	return d.Snapshot().Config.AccountOf(key) != nil
}

// A version with accounts that cannot be told apart must not replace the one in force, and its
// keys must not be in the log.
func TestInvalidAccountsAreRejectedWithoutTheirKeys(t *testing.T) {
	for name, accounts := range map[string]string{
		"key of two accounts":  `[{"name":"a","api_keys":["secret"]},{"name":"b","api_keys":["secret"]}]`,
		"name twice":           `[{"name":"a","api_keys":["secret"]},{"name":"a"}]`,
		"empty name":           `[{"name":"","api_keys":["secret"]}]`,
		"empty key":            `[{"name":"a","api_keys":["secret",""]}]`,
		"negative rate":        `[{"name":"a","api_keys":["secret"],"rate_per_s":-1}]`,
		"negative burst":       `[{"name":"a","api_keys":["secret"],"burst":-1}]`,
		"key in place of list": `[{"name":"a","api_keys":"secret"}]`,
		"numeric key":          `[{"name":"a","api_keys":[7777]}]`,
		"key in place of rate": `[{"name":"a","rate_per_s":"secret"}]`,
		"truncated":            `[{"name":"a","api_keys":["secret"`,
		"not JSON":             `[{"name":"a","api_keys":[secret]}]`,
	} {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			d := discovery.NewDirectory(discovery.Decoder{
				ConfigKey: platform.ConfigKey, TargetPrefix: platform.TargetPrefix,
				Config: platform.DecodeConfig, Target: platform.DecodeTarget, TargetID: platform.TargetID,
			}, &log.Logger{Writer: &log.IOWriter{Writer: &lines}}, func(discovery.Snapshot) {})
			d.ApplyChanges([]core.StoreRecord{withKeys(1, `"k1"`)}, 1, now)
			d.ApplyChanges([]core.StoreRecord{record(platform.ConfigKey, 2, `{"version":2,"tenants":`+accounts+`}`)}, 2, now)
			assert.EqualValues(t, 1, d.Snapshot().Config.Version)
			assert.True(t, holdsKey(d, "k1"))
			assert.Contains(t, lines.String(), "config_rejected")
			assert.NotContains(t, lines.String(), "secret")
			assert.NotContains(t, lines.String(), "7777")
		})
	}
}

// A process hears of versions from the store and from members that lag behind. None of them may
// bring a revoked key back or drop a valid one, also in a process that has just started.
func TestRevokedKeyStaysGone(t *testing.T) {
	lagging := newDirectory()
	lagging.ApplySnapshot([]core.StoreRecord{withKeys(5, `"kept","gone"`)}, 5, now)
	d := newDirectory()
	d.ApplySnapshot([]core.StoreRecord{withKeys(5, `"kept","gone"`)}, 5, now)
	require.True(t, holdsKey(d, "gone"))
	for version := int64(6); version < 60; version++ {
		d.ApplyChanges([]core.StoreRecord{withKeys(version, fmt.Sprintf(`"kept","v%d"`, version))}, version, now)
		d.Merge(lagging.State(), now)
		d.ApplyChanges([]core.StoreRecord{withKeys(version-1, `"kept","gone"`)}, version+100, now)
		restarted := newDirectory()
		restarted.Merge(lagging.State(), now)
		restarted.Merge(d.State(), now)
		for _, process := range []*discovery.Directory{d, restarted} {
			assert.True(t, holdsKey(process, "kept"))
			assert.False(t, holdsKey(process, "gone"))
			assert.False(t, holdsKey(process, fmt.Sprint("v", version-1)))
		}
	}
}

// The store turned some machines away while a key was revoked (platform_down, nodes). They must
// hear of it from members.
func TestRevocationReachesProcessThatStoreTurnsAway(t *testing.T) {
	member := newDirectory()
	member.ApplyChanges([]core.StoreRecord{withKeys(1, `"gone"`)}, 1, now)
	member.SetStoreConnected(true)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.SetDown(true)
	addr := startMember(t, member)
	f := &discovery.Follower{Directory: newDirectory(), Store: platform.NewStore(store.Addr()), ViaMembers: true, Members: func() []string { return []string{addr} }}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	require.Eventually(t, func() bool { return f.Directory.HasConfig() && holdsKey(f.Directory, "gone") }, 5*time.Second, 5*time.Millisecond)
	member.ApplyChanges([]core.StoreRecord{withKeys(2, `"kept"`)}, 2, time.Now())
	require.Eventually(t, func() bool { return !holdsKey(f.Directory, "gone") }, time.Second, 5*time.Millisecond)
}
