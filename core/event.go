package core

import "github.com/rhubarbsaddle/rhubarbsaddle/config"

// Event is an input of a reducer.
type Event interface{ event() }

// Tick is delivered periodically and drives all timeouts.
type Tick struct{}

// Recv is a message from another process. From is the sender's incarnation.
type Recv struct {
	From Node
	Msg  Message
}

// CallArrived is a caller's request at its ingress.
type CallArrived struct {
	Req  RequestID
	Call Call
}

// CallerDisconnected reports that the caller of a request has disconnected.
type CallerDisconnected struct{ Req RequestID }

// StreamBroken reports that the ingress can no longer read the answer of an
// attempt. The sidecar incarnation that stored the answer is unreachable or has
// deleted the answer.
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

// VMRole is the role of the process that a VM runs.
type VMRole uint8

// Roles of VMs.
const (
	RoleEntry VMRole = iota
	RoleSidecar
)

// VMInfo describes one VM in the platform's VM list.
type VMInfo struct {
	VM      VM
	Domain  Domain
	Role    VMRole
	Pool    Pool
	Leaving bool
	// Addr is the IP address and port at which the VM's process serves its peers.
	Addr string
}

// VMList is the platform's VM list as last fetched, which may be stale. A VM that was
// listed and no longer is has been removed permanently.
type VMList struct{ VMs []VMInfo }

// StoreResult is the response to the StoreGet, StoreRange or StoreCompareAndSwap
// effect with the same Op.
type StoreResult struct {
	Op uint64
	// Err means that the response was lost or the service failed. A compare-and-swap
	// may have taken effect nevertheless.
	Err bool
	// Swapped means that a compare-and-swap succeeded.
	Swapped bool
	Records []StoreRecord
}

// StoreRecord is one key of the key-value service with its value.
type StoreRecord struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last write; zero if the key is
	// absent.
	Revision int64
}

// StoreWatch reports keys that changed in the key-value service.
type StoreWatch struct{ Records []StoreRecord }

// DrainRequested starts a graceful shutdown.
type DrainRequested struct{}

// TargetStarted reports that the target began to execute an attempt.
type TargetStarted struct{ Attempt AttemptID }

// TargetProgress reports the output tokens generated since the last report.
type TargetProgress struct {
	Attempt AttemptID
	Tokens  uint32
}

// TargetFinished reports that an attempt has produced its complete answer.
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

// TargetLoad is the load that the target itself reports, which may be stale.
type TargetLoad struct {
	Running     uint32
	CacheTokens uint64
	CacheUsed   uint64
	PrefillRate uint64
	StepTime    Duration
}

// CacheEvent reports blocks that were stored in or evicted from the target's cache.
type CacheEvent struct {
	// Sequence is the number of this event among the target's events. A gap
	// means that events were lost.
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

// ConfigApplied activates a generation of the configuration. A reducer ignores a
// generation that is not above the active one.
type ConfigApplied struct {
	Generation uint64
	Set        *config.Set
}

func (ConfigApplied) event() {}
