package discovery_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// oddRecords are registrations that another writer may leave.
func oddRecords() map[string]string {
	const nesting = 200_000
	odd := map[string]string{
		"nested lists":      strings.Repeat("[", nesting) + strings.Repeat("]", nesting),
		"nested objects":    strings.Repeat(`{"service":`, nesting) + "1" + strings.Repeat("}", nesting),
		"nested in a field": `{"service":"s","address":"10.0.0.1:1","state":"ready","zone":` + strings.Repeat("[", nesting) + strings.Repeat("]", nesting) + `}`,
		"unclosed":          strings.Repeat(`{"a":[`, nesting),
		"not text":          "\xff\xfe\x00",
		"empty":             "",
		"null":              "null",
		"port out of range": `{"service":"s","address":"10.0.0.1:99999","state":"ready"}`,
		"negative port":     `{"service":"s","address":"10.0.0.1:-1","state":"ready"}`,
		"port zero":         `{"service":"s","address":"10.0.0.1:0","state":"ready"}`,
		"no port":           `{"service":"s","address":"10.0.0.1","state":"ready"}`,
		"a name for an IP":  `{"service":"s","address":"engine:8000","state":"ready"}`,
		"two ports":         `{"service":"s","address":"10.0.0.1:1:2","state":"ready"}`,
	}
	for _, field := range []string{"slots", "cold_left_ms", "born"} {
		for _, number := range []string{fmt.Sprint(math.MaxInt64), "1e18", "1e300", "1e400", "99999999999999999999999", "-1e300"} {
			if field == "born" && number == fmt.Sprint(math.MaxInt64) || field == "cold_left_ms" && number == "-1e300" {
				// A start far ahead and a time long over do no harm.
				continue
			}
			odd[field+" "+number] = fmt.Sprintf(`{"service":"s","address":"10.0.0.1:1","state":"ready",%q:%s}`, field, number)
		}
	}
	return odd
}

// Another writer left one odd entry among those of the targets, and the processes that read the
// list ended again and again or stopped following it (reported by other operators: LOST). It
// names no target, whichever way it comes, and the others hold.
func TestOddRecordNamesNoTarget(t *testing.T) {
	const sound = `{"service":"s","address":"10.0.0.2:2","state":"ready","slots":4}`
	for name, value := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			member, follower := newDirectory(), newDirectory()
			member.ApplySnapshot([]core.StoreRecord{record("servers/a", 2, value), record("servers/b", 3, sound), record("servers/c", 4, sound)}, 4, now)
			member.ApplyChanges([]core.StoreRecord{record("servers/c", 5, value), record("servers/d", 6, sound), record("servers/e", 7, value)}, 7, now)
			state, _ := member.ChangesSince(0)
			follower.Merge(state, now)
			for _, d := range []*discovery.Directory{member, follower} {
				targets := d.Snapshot().Targets
				require.Len(t, targets, 2)
				assert.Equal(t, "b", targets[0].ID)
				assert.Equal(t, "d", targets[1].ID)
				f := fleet.New(1, 0)
				f.Update(targets, nil)
				choice, ok := f.Pick(fleet.Query{Service: "s"}, now)
				require.True(t, ok)
				assert.Equal(t, "10.0.0.2:2", choice.Target.Addr)
			}
		})
	}
}

// The store hands odd records out with all others, in its pages and to watches.
func TestStoreWithOddRecordsIsFollowed(t *testing.T) {
	server := platformtest.NewStore()
	t.Cleanup(server.Close)
	i := 0
	for _, value := range oddRecords() {
		server.Put(fmt.Sprint("servers/odd", i), []byte(value))
		i++
	}
	server.Put("servers/a", []byte(target))
	d := newDirectory()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go (&discovery.Follower{Directory: d, Store: platform.NewStore(server.Addr()), Members: func() []string { return nil }}).Run(ctx)
	expect := func(targets int) {
		t.Helper()
		require.Eventually(t, func() bool { return len(d.Snapshot().Targets) == targets }, 10*time.Second, 5*time.Millisecond)
	}
	expect(1)
	for _, value := range oddRecords() {
		server.Put("servers/odd", []byte(value))
	}
	server.Put("servers/b", []byte(target))
	expect(2)
}
