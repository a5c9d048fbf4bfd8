package sidecar

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// loadPeriod is the time between two readings of the target's load.
	loadPeriod = 100 * time.Millisecond
	// callTimeout bounds the small calls to the target.
	callTimeout = 2 * time.Second
	// retryPause is the wait after a failed call to the target.
	retryPause = 500 * time.Millisecond
)

// followLoad posts the target's load reports.
func (d *Daemon) followLoad() {
	pause := loadPeriod
	for d.sleep(pause) {
		ctx, cancel := context.WithTimeout(d.node.Context(), callTimeout)
		load, err := d.target.Load(ctx)
		cancel()
		pause = loadPeriod
		if err != nil {
			pause = retryPause
			continue
		}
		d.node.Post(load)
	}
}

// followCache posts the target's cache events. After a break it goes on behind
// the last event seen; the reducer finds the gap if some are missing.
func (d *Daemon) followCache() {
	var after uint64
	for {
		err := d.target.CacheEvents(d.node.Context(), after, func(ev core.CacheEvent) {
			after = max(after, ev.Sequence)
			d.node.Post(ev)
		})
		if err != nil && d.node.Context().Err() == nil {
			d.node.Log().Debug().Str("step", "cache events").Err(err).Msg("the events of the target broke off")
		}
		if !d.sleep(retryPause) {
			return
		}
	}
}

func (d *Daemon) releaseCache(e core.ReleaseCache) {
	ctx, cancel := context.WithTimeout(d.node.Context(), callTimeout)
	defer cancel()
	if err := d.target.Release(ctx, e.Digests); err != nil {
		d.node.Log().Info().Str("step", "release").Str("program", string(e.Program)).Err(err).
			Msg("the target did not take the release")
	}
}

func (d *Daemon) listCache() {
	ctx, cancel := context.WithTimeout(d.node.Context(), callTimeout)
	defer cancel()
	listing, err := d.target.ListCache(ctx)
	if err != nil {
		d.node.Log().Debug().Str("step", "list cache").Err(err).Msg("the target did not list its cache")
		return
	}
	d.node.Post(core.CacheListing{Digests: listing.Digests})
}

// sleep waits; it reports false when the life ends.
func (d *Daemon) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.node.Context().Done():
		return false
	}
}
