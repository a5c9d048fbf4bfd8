// Package capacity works out what each role holds and spends in a large
// deployment, from slopes that package bench/slopes has measured. The page
// docs/CAPACITY.md is made by it, and a test compares the two.
package capacity

// Size is the deployment that the design is made for.
type Size struct {
	// Entries and Targets count processes; every target has a sidecar.
	Entries, Targets, Pools int
	Domains                 int
	Programs                float64
	// CallsPerSecond and TokensPerSecond are the peak rates.
	CallsPerSecond, TokensPerSecond float64
	ConfigChangesPerDay             float64
	VMFailuresPerDay                float64
	VMRestartsPerDay                float64
	// Slots and Replicas are the settings proposed for this size.
	Slots, Replicas int
}

// DesignSize is the size that letter 1 of the users expects within two years.
var DesignSize = Size{
	Entries: 1400, Targets: 10_000, Pools: 4, Domains: 15,
	Programs:       1.8e6,
	CallsPerSecond: 89_000, TokensPerSecond: 31e6,
	ConfigChangesPerDay: 12_000,
	VMFailuresPerDay:    220, VMRestartsPerDay: 630,
	Slots: 16_384, Replicas: 2,
}

// Limits of letter 1 for the control costs of one node, and of the brief for
// the key-value service.
const (
	maxControlCPUPercent  = 2.3
	maxControlMemoryBytes = 128e6
	maxControlBytes       = 23e3
	maxStoreReads         = 2000
	maxStoreWrites        = 300
	maxConfigSeconds      = 7
)

// Periods of the processes that the arithmetic needs.
const (
	// configPeriodSeconds is the time between two readings of the configuration.
	configPeriodSeconds = 2
	// secondsPerDay converts daily counts.
	secondsPerDay = 86_400
	// rackVMs is the number of VMs assumed behind one switch.
	rackVMs = 40
	// gossipPeers is the number of peers outside its own slots that an entry
	// keeps in touch with when heartbeats are sent to a subset.
	gossipPeers = 16
	// historyTokens is the longest conversation and historyCopies the number of
	// sidecars that keep it.
	historyTokens = 160_000
	historyCopies = 2
	// subsetTargets is the number of targets of a pool that an entry knows when
	// it keeps a subset.
	subsetTargets = 64
)

// members returns the number of copies of a slot.
func (s Size) members() float64 { return float64(s.Replicas + 1) }

// copiesPerEntry returns the copies of program records on one entry.
func (s Size) copiesPerEntry() float64 { return s.Programs * s.members() / float64(s.Entries) }

// slotsPerEntry returns the slots of which an entry is a member.
func (s Size) slotsPerEntry() float64 { return float64(s.Slots) * s.members() / float64(s.Entries) }

// callsPerEntry returns the calls a second at one entry.
func (s Size) callsPerEntry() float64 { return s.CallsPerSecond / float64(s.Entries) }

// callsPerTarget returns the calls a second at one target.
func (s Size) callsPerTarget() float64 { return s.CallsPerSecond / float64(s.Targets) }

// peerSubset returns the peers of an entry when it keeps in touch with the
// other members of its slots and a few more.
func (s Size) peerSubset() float64 {
	return min(float64(s.Entries-1), s.slotsPerEntry()*float64(s.Replicas)+gossipPeers)
}

// targetSubset returns the targets that an entry knows when it keeps a subset.
func (s Size) targetSubset() float64 { return float64(s.Pools * subsetTargets) }

// listenersOfSubset returns the entries that listen to one sidecar then.
func (s Size) listenersOfSubset() float64 {
	return s.targetSubset() * float64(s.Entries) / float64(s.Targets)
}
