package config

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

// Resident holds the settings of a process that runs on the users' platform: an
// entry or a ledger member.
type Resident struct {
	// VM is the name of the process's VM.
	VM string `yaml:"vm"`
	// Role is the role of the process: entry or ledger.
	Role string `yaml:"role"`
	// Domain is the VM's failure domain.
	Domain string `yaml:"domain"`
	// FirstStart means that the complete system is started for the first time, with
	// empty disks.
	FirstStart bool `yaml:"first_start"`
	// Data is the directory of a ledger member's segments.
	Data string `yaml:"data"`
	// Listen gives the process's own addresses.
	Listen ResidentListen `yaml:"listen"`
	// Seeds are the addresses, host and port, of ledger members to query while the
	// platform's store is unavailable. They may be out of date.
	Seeds []string `yaml:"seeds"`
	// Store is the address of the platform's key-value service, host and port.
	Store string `yaml:"store"`
	// DisksLost is the number of disks that may be lost at the same time.
	DisksLost int `yaml:"disks_lost"`
	// MemoryMB bounds the process's memory, in megabytes.
	MemoryMB int `yaml:"memory_mb"`
	// Descriptors bounds the descriptors of the process, of which an entry leaves a part for its
	// own connections; 0 means that only the operating system's limit applies.
	Descriptors int `yaml:"descriptors"`
	// Bounds are the time limits that the platform sets.
	Bounds ResidentBounds `yaml:"bounds"`
	// Log sets the log's level.
	Log Log `yaml:"log"`
	// Experiment is for experiments only. A process in service refuses it.
	Experiment Experiment `yaml:"experiment"`
}

// Experiment holds the settings of a process that is part of an experiment.
type Experiment struct {
	// Disable lists the mechanisms that the process does without.
	Disable []string `yaml:"disable"`
	// Allowed is set if the process was started for an experiment. It is not read from the
	// settings file, so that no file alone changes what a process in service does.
	Allowed bool `yaml:"-"`
}

// Disabled returns the mechanisms that the process does without. Check reports unknown
// names.
func (e Experiment) Disabled() mechanism.Set {
	set, err := mechanism.Parse(e.Disable)
	if err != nil || !e.Allowed {
		return 0
	}
	return set
}

func (e Experiment) check(c *checker) {
	if len(e.Disable) == 0 {
		return
	}
	if !e.Allowed {
		c.add("experiment.disable", "remove it; only processes started with --experiment accept it", "is set in service")
	}
	if _, err := mechanism.Parse(e.Disable); err != nil {
		c.add("experiment.disable", "use the names of mechanisms", "%v", err)
	}
}

// ResidentListen gives the addresses that a process listens on.
type ResidentListen struct {
	// Callers is the address at which an entry serves callers.
	Callers string `yaml:"callers"`
	// Ready is the address that answers the balancer's readiness checks.
	Ready string `yaml:"ready"`
	// Ledger is the address at which a ledger member serves entries and other members.
	Ledger string `yaml:"ledger"`
	// Tunnel is the address at which an entry accepts connections of other entries,
	// to forward them to ledger members.
	Tunnel string `yaml:"tunnel"`
	// Metrics is the address that serves the process's metrics.
	Metrics string `yaml:"metrics"`
}

// ResidentBounds are the time limits that the platform sets.
type ResidentBounds struct {
	// GraceS is the time from SIGTERM to SIGKILL, in seconds.
	GraceS float64 `yaml:"grace_s"`
}

// Grace returns the time from SIGTERM to SIGKILL.
func (b ResidentBounds) Grace() time.Duration {
	return time.Duration(b.GraceS * float64(time.Second))
}

// Roles of resident processes.
const (
	ResidentEntry  = "entry"
	ResidentLedger = "ledger"
)

// Check returns all problems of the settings.
func (r *Resident) Check() []Problem {
	c := &checker{}
	c.required("vm", r.VM)
	c.required("role", r.Role)
	c.oneOf("role", r.Role, []string{ResidentEntry, ResidentLedger})
	c.addrPort("store", r.Store, true)
	if r.Role == ResidentEntry {
		c.addrPort("listen.callers", r.Listen.Callers, true)
		c.addrPort("listen.ready", r.Listen.Ready, true)
		c.addrPort("listen.tunnel", r.Listen.Tunnel, true)
	}
	if r.Role == ResidentLedger {
		c.addrPort("listen.ledger", r.Listen.Ledger, true)
		c.required("data", r.Data)
	}
	if r.DisksLost < 0 {
		c.add("disks_lost", "give 0 or more", "is %d", r.DisksLost)
	}
	if r.MemoryMB < 0 {
		c.add("memory_mb", "give megabytes, or 0 for no bound", "is %d", r.MemoryMB)
	}
	if r.Descriptors < 0 {
		c.add("descriptors", "give a number, or 0 for no bound", "is %d", r.Descriptors)
	}
	if r.Bounds.GraceS <= 0 {
		c.add("bounds.grace_s", "give seconds", "is %v", r.Bounds.GraceS)
	}
	r.Experiment.check(c)
	return c.problems
}
