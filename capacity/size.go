// Package capacity computes the resources that each role needs in a large
// deployment, from slopes measured by package bench/slopes. It generates the
// tables of docs/CAPACITY.md, and a test checks that they are up to date.
package capacity

// Size is the size and load of a deployment.
type Size struct {
	// Entries and Targets count processes; every target has a sidecar.
	Entries, Targets, Pools int
	Domains                 int
	Programs                float64
	// CallsPerSecond and TokensPerSecond are peak rates.
	CallsPerSecond, TokensPerSecond float64
	ConfigChangesPerDay             float64
	VMFailuresPerDay                float64
	VMRestartsPerDay                float64
	// Slots and Replicas are the settings proposed for this size.
	Slots, Replicas int
}

// DesignSize is the size that the users expect within two years, as given in their
// first letter.
var DesignSize = Size{
	Entries: 1400, Targets: 10_000, Pools: 4, Domains: 15,
	Programs:       1.8e6,
	CallsPerSecond: 89_000, TokensPerSecond: 31e6,
	ConfigChangesPerDay: 12_000,
	VMFailuresPerDay:    220, VMRestartsPerDay: 630,
	Slots: 16_384, Replicas: 2,
}

// Upper bounds of costs. The users' first letter sets those for the control
// costs of one node, the project's brief those for the key-value service.
const (
	maxControlCPUPercent  = 2.3
	maxControlMemoryBytes = 128e6
	maxControlBytes       = 23e3
	maxStoreReads         = 2000
	maxStoreWrites        = 300
	maxConfigSeconds      = 7
)

// Other constants of the calculation.
const (
	// configPeriodSeconds is the period at which processes read the configuration.
	configPeriodSeconds = 2
	// secondsPerDay converts counts per day to rates per second.
	secondsPerDay = 86_400
	// rackVMs is the assumed number of VMs behind one switch.
	rackVMs = 40
	// extraPeers is the number of peers to which an entry sends every heartbeat
	// besides the members of its slots.
	extraPeers = 16
	// historyTokens is the length of the longest conversation, and historyCopies
	// the number of sidecars that store it.
	historyTokens = 160_000
	historyCopies = 2
	// subsetTargets is the number of targets of a pool whose load reports an entry
	// receives.
	subsetTargets = 64
)

// members returns the number of entries that hold a copy of a slot.
func (s Size) members() float64 { return float64(s.Replicas + 1) }

// copiesPerEntry returns the number of copies of program records on one entry.
func (s Size) copiesPerEntry() float64 { return s.Programs * s.members() / float64(s.Entries) }

// slotsPerEntry returns the number of slots of which an entry is a member.
func (s Size) slotsPerEntry() float64 { return float64(s.Slots) * s.members() / float64(s.Entries) }

// callsPerEntry returns the calls per second at one entry.
func (s Size) callsPerEntry() float64 { return s.CallsPerSecond / float64(s.Entries) }

// callsPerTarget returns the calls per second at one target.
func (s Size) callsPerTarget() float64 { return s.CallsPerSecond / float64(s.Targets) }

// peerSubset returns the number of peers to which an entry sends every heartbeat:
// the other members of its slots and extraPeers more.
func (s Size) peerSubset() float64 {
	return min(float64(s.Entries-1), s.slotsPerEntry()*float64(s.Replicas)+extraPeers)
}

// targetSubset returns the number of targets whose load reports an entry receives.
func (s Size) targetSubset() float64 { return float64(s.Pools * subsetTargets) }

// listenersOfSubset returns the number of entries that receive the load reports
// of one sidecar.
func (s Size) listenersOfSubset() float64 {
	return s.targetSubset() * float64(s.Entries) / float64(s.Targets)
}
