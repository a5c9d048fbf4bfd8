package policy

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

const (
	// faultPeriod is the time between two faults.
	faultPeriod = 15 * core.Second
	// downTime is how long a killed process stays down.
	downTime = 3 * core.Second
	// pauseTime is the length of a pause.
	pauseTime = 2 * core.Second
	// noticeTime bounds the time until a silent connection is noticed.
	noticeTime = 2 * core.Second
	// lossShare is the share of messages lost, and again of those repeated.
	lossShare = 0.001
)

// breakThings kills a sidecar, kills an entry, pauses a sidecar and silences
// all connections, in turn, through the window.
func (c *cluster) breakThings(from core.Instant) {
	c.sim.At(from, func() { c.sim.SetLoss(lossShare, lossShare, lossShare) })
	faults := []func(int){c.killSidecar, c.killEntry, c.pauseSidecar, c.silence}
	for i := 0; core.Duration(i)*faultPeriod < c.spec.Deployment.Window; i++ {
		at := from.Add(core.Duration(i) * faultPeriod)
		c.sim.At(at, func() { faults[i%len(faults)](i) })
	}
	c.sim.At(from.Add(c.spec.Deployment.Window), func() { c.sim.SetLoss(0, 0, 0) })
}

func (c *cluster) killSidecar(i int) {
	n := c.sim.Nodes()[i%len(c.engines)]
	n.Kill()
	c.sim.After(downTime, n.Start)
}

func (c *cluster) killEntry(i int) {
	n := c.sim.Node(c.entries[i%len(c.entries)])
	n.Kill()
	c.sim.After(downTime, n.Start)
}

func (c *cluster) pauseSidecar(i int) { c.sim.Nodes()[i%len(c.engines)].Pause(pauseTime) }

func (c *cluster) silence(int) { c.sim.BlackholeAllConnections(noticeTime) }
