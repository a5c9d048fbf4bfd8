package sidecar

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// loadPeriod is the time between two polls of the target's load.
	loadPeriod = 100 * time.Millisecond
	// callTimeout bounds requests to the target other than attempts.
	callTimeout = 2 * time.Second
	// retryDelay is the delay after a failed request to the target.
	retryDelay = 500 * time.Millisecond
)

// pollLoad polls the target's load and posts it.
func (d *Daemon) pollLoad() {
	delay := loadPeriod
	for d.sleep(delay) {
		ctx, cancel := context.WithTimeout(d.node.Context(), callTimeout)
		load, err := d.target.Load(ctx)
		cancel()
		delay = loadPeriod
		if err != nil {
			delay = retryDelay
			continue
		}
		d.node.Post(load)
	}
}

// followCacheEvents posts the target's cache events. After an interruption it continues
// after the last event seen; the reducer detects a gap if events are missing.
func (d *Daemon) followCacheEvents() {
	var after uint64
	for {
		err := d.target.CacheEvents(d.node.Context(), after, func(ev core.CacheEvent) {
			after = max(after, ev.Sequence)
			d.node.Post(ev)
		})
		if err != nil && d.node.Context().Err() == nil {
			d.node.Log().Debug().Str("step", "cache events").Err(err).Msg("the stream of cache events was interrupted; reconnecting")
		}
		if !d.sleep(retryDelay) {
			return
		}
	}
}

func (d *Daemon) releaseCache(e core.ReleaseCache) {
	ctx, cancel := context.WithTimeout(d.node.Context(), callTimeout)
	defer cancel()
	if err := d.target.Release(ctx, e.Digests); err != nil {
		d.node.Log().Info().Str("step", "release").Str("program", string(e.Program)).Err(err).
			Msg("releasing cached blocks at the target failed")
	}
}

func (d *Daemon) listCache() {
	ctx, cancel := context.WithTimeout(d.node.Context(), callTimeout)
	defer cancel()
	listing, err := d.target.ListCache(ctx)
	if err != nil {
		d.node.Log().Debug().Str("step", "list cache").Err(err).Msg("listing the target's cache failed")
		return
	}
	d.node.Post(core.CacheListing{Digests: listing.Digests})
}

// sleep waits for delay. It reports false if the daemon closes before that.
func (d *Daemon) sleep(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.node.Context().Done():
		return false
	}
}
