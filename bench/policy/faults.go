package policy

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

const (
	// faultPeriod is the period at which faults are injected.
	faultPeriod = 15 * core.Second
	// downTime is how long a killed process stays down.
	downTime = 3 * core.Second
	// pauseTime is the length of a pause.
	pauseTime = 2 * core.Second
	// detectionTime bounds the time until a blackholed connection is detected.
	detectionTime = 2 * core.Second
	// lossShare is the probability of loss, of duplication and of delay of a
	// message.
	lossShare = 0.001
)

// injectFaults kills a sidecar, kills an entry, pauses a sidecar and blackholes
// all connections, in rotation, throughout the window.
func (c *cluster) injectFaults(from core.Instant) {
	c.sim.At(from, func() { c.sim.SetLoss(lossShare, lossShare, lossShare) })
	faults := []func(int){c.killSidecar, c.killEntry, c.pauseSidecar, c.blackhole}
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

func (c *cluster) blackhole(int) { c.sim.BlackholeAllConnections(detectionTime) }
