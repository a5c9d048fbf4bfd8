package core

import "github.com/rhubarbsaddle/rhubarbsaddle/config"

// Event is an input of a reducer.
type Event interface{ event() }

// Tick is delivered at a steady period and drives all timeouts.
type Tick struct{}

// Recv is a message from another process. From is the sender's life.
type Recv struct {
	From Node
	Msg  Message
}

// CallArrived is a caller's request at this edge.
type CallArrived struct {
	Req  RequestID
	Call Call
}

// CallerDisconnected reports that the caller of a request has disconnected.
type CallerDisconnected struct{ Req RequestID }

// StreamBroken reports that the edge lost an attempt's stream for good: the
// sidecar's life that kept the answer can no longer be reached.
type StreamBroken struct {
	Req     RequestID
	Attempt AttemptID
}

// EndArrived is a caller's request to end a program.
type EndArrived struct {
	Req     RequestID
	Program ProgramID
	Account Account
}

// VMRole says what runs on a VM.
type VMRole uint8

// Roles of VMs.
const (
	RoleEntry VMRole = iota
	RoleSidecar
)

// VMInfo is one VM of the platform's list.
type VMInfo struct {
	VM      VM
	Domain  Domain
	Role    VMRole
	Pool    Pool
	Leaving bool
	// Addr is the IP address and port of the VM's process for its peers.
	Addr string
}

// VMList is a reading of the platform's VM list. It lags; a VM that was listed
// and no longer is has ended for good.
type VMList struct{ VMs []VMInfo }

// StoreResult answers a StoreGet, StoreRange or StoreSwap effect with the same
// Op.
type StoreResult struct {
	Op uint64
	// Err means that the answer was lost or the service failed; a swap may have
	// taken effect all the same.
	Err bool
	// Swapped is meaningful for StoreSwap.
	Swapped bool
	Entries []StoreEntry
}

// StoreEntry is one key of the key-value service.
type StoreEntry struct {
	Key   string
	Value []byte
	// Revision is the revision of the last write of the key; zero if absent.
	Revision int64
}

// StoreWatch reports keys that changed in the key-value service.
type StoreWatch struct{ Entries []StoreEntry }

// DrainRequested starts a graceful shutdown.
type DrainRequested struct{}

// TargetStarted reports that the target began to execute an attempt.
type TargetStarted struct{ Attempt AttemptID }

// TargetProgress reports output tokens generated since the last report.
type TargetProgress struct {
	Attempt AttemptID
	Tokens  uint32
}

// TargetFinished reports the whole answer of an attempt.
type TargetFinished struct {
	Attempt AttemptID
	Usage   Usage
	Digest  uint64
	Blocks  uint32
	Answer  []byte
	Length  uint64
}

// TargetFailed reports that an attempt ended without an answer.
type TargetFailed struct {
	Attempt AttemptID
	// Sent means that the target may have executed the attempt.
	Sent   bool
	Reason Reason
}

// TargetLoad is the target's own report; it lags.
type TargetLoad struct {
	Running     uint32
	CacheTokens uint64
	CacheUsed   uint64
	PrefillRate uint64
	StepTime    Duration
}

// CacheEvent reports prefixes that entered or left the target's cache.
type CacheEvent struct {
	// Sequence numbers the target's events; a jump is a gap.
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
}

// CacheListing is the complete content of the target's cache, by block digest.
type CacheListing struct{ Digests []uint64 }

func (Tick) event()               {}
func (Recv) event()               {}
func (CallArrived) event()        {}
func (CallerDisconnected) event() {}
func (StreamBroken) event()       {}
func (EndArrived) event()         {}
func (VMList) event()             {}
func (StoreResult) event()        {}
func (StoreWatch) event()         {}
func (DrainRequested) event()     {}
func (TargetStarted) event()      {}
func (TargetProgress) event()     {}
func (TargetFinished) event()     {}
func (TargetFailed) event()       {}
func (TargetLoad) event()         {}
func (CacheEvent) event()         {}
func (CacheListing) event()       {}

// ConfigApplied puts a generation of the configuration in force. A reducer
// ignores a generation that is not above the one in force.
type ConfigApplied struct {
	Generation uint64
	Set        *config.Set
}

func (ConfigApplied) event() {}
