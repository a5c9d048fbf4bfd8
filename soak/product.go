package soak

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// product returns constructors of the unmodified reducers.
func product() Reducers {
	return Reducers{Entry: newEntry, Sidecar: newSidecar}
}

func newEntry(self core.Node, domain core.Domain, seed uint64, rec *invariant.Recorder) core.Reducer {
	return entry.New(entry.Options{Self: self, Domain: domain, Seed: seed, Invariants: rec})
}

func newSidecar(self core.Node, domain core.Domain, pool core.Pool, seed uint64, rec *invariant.Recorder) core.Reducer {
	return sidecar.New(sidecar.Options{Self: self, Domain: domain, Pool: pool, Seed: seed, Invariants: rec})
}
