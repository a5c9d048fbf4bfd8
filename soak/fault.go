package soak

import "fmt"

// Fault is a kind of injected fault.
type Fault int

// The kinds of fault.
const (
	EntryKilled Fault = iota
	SidecarKilled
	OwnerAndReplicaKilled
	EntryReplaced
	SidecarReplaced
	TargetLeaving
	StoreUnavailable
	StoreSlow
	CompareAndSwapResponseLost
	EntryPaused
	SidecarPaused
	ConnectionUnresponsive
	AllConnectionsUnresponsive
	DomainPartitioned
	MessageLost
	MessageDuplicated
	MessageDelayed
	ToolHung
	EngineHung
	ProgramLooping
	ConfigConflict
	StaleConfigDelivered
	CacheEventLost
	CacheEventLate
	LoadReportLate
	EntryDrained
	SidecarDrained
	CallRepeated
	CallerDisconnected
	HistoryStale
	HistoryOfOtherProgram
	KeyReused
	OldCallRepeated

	faultCount
)

var faultNames = [faultCount]string{
	"entry_killed", "sidecar_killed", "home_and_mirror_killed", "entry_replaced", "sidecar_replaced",
	"target_leaving", "store_down", "store_slow", "swap_answer_lost", "holder_paused", "sidecar_paused",
	"connection_silent", "all_connections_silent", "domain_cut", "message_lost", "message_duplicated",
	"message_delayed", "tool_hung", "engine_hung", "program_looping", "config_conflict", "config_late",
	"cache_event_lost", "cache_event_late", "load_report_late", "entry_drained", "sidecar_drained",
	"call_repeated", "caller_gone", "history_stale", "history_foreign", "key_reused", "old_call_repeated",
}

// String returns the name that reports show.
func (f Fault) String() string {
	if f < 0 || f >= faultCount {
		return fmt.Sprintf("fault(%d)", int(f))
	}
	return faultNames[f]
}

// Faults lists all kinds of fault.
func Faults() []Fault {
	all := make([]Fault, faultCount)
	for i := range all {
		all[i] = Fault(i)
	}
	return all
}
