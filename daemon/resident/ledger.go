package resident

import (
	"context"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/discovery"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/member"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
	"github.com/rhubarbsaddle/rhubarbsaddle/platform"
)

// loadGCPercent replaces gcPercent while a member reads its disk, which is when all that it
// holds is allocated: frequent collections would take a third of the time.
const loadGCPercent = 100

// leaveShare is the share of the time between SIGTERM and SIGKILL in which a ledger member gives
// up its seat.
const leaveShare = 0.5

// runLedger runs a ledger member until SIGTERM. Its records are durable once they are
// acknowledged, so it may stop at any moment.
func (p *process) runLedger(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	terminated, stopNotify := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopNotify()
	var follower *discovery.Follower
	follower = p.newFollower(func() []string { return p.ledgerAddrs(follower.Directory.Snapshot()) }, func(discovery.Snapshot) {})
	go follower.RunWithRole(ctx, p.isStandby)
	debug.SetGCPercent(loadGCPercent)
	m, err := member.Open(member.Options{
		Name: p.settings.VM, Domain: p.settings.Domain, Addr: p.settings.Listen.Ledger, Dir: p.settings.Data,
		FirstStart: p.settings.FirstStart, DisksLost: p.settings.DisksLost, MemoryMB: p.settings.MemoryMB,
		Store: follower.Store, Directory: follower.Directory,
		RetireKey:    platform.RetireKey(p.settings.VM),
		RetireStatus: func(completed bool) (string, []byte) { return platform.RetireStatus(p.settings.VM, completed) },
		Log:          p.log,
		IgnoreIndex:  p.settings.Experiment.Disabled().Disables(mechanism.SegmentIndex),
	})
	debug.SetGCPercent(gcPercent)
	if err != nil {
		return err
	}
	m.Register(p.registry)
	context.AfterFunc(terminated, func() {
		defer stop()
		leaving, cancel := context.WithTimeout(ctx, time.Duration(leaveShare*float64(p.settings.Bounds.Grace())))
		defer cancel()
		m.Leave(leaving)
	})
	return m.Run(ctx)
}

// isStandby reports whether all seats are taken by other members. Members with a seat follow
// the store themselves, since entries and standbys follow them.
func (p *process) isStandby(view ledger.View) bool {
	_, seated := view.Seat(p.settings.VM)
	return !seated && view.IsFull(p.settings.DisksLost)
}
