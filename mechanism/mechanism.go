// Package mechanism names the mechanisms of the daemons on the users' platform that an
// experiment can disable, in order to measure what each of them is worth. In service all
// of them are enabled.
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a mechanism that can be disabled.
type Mechanism uint8

// Mechanisms. Without one of them, the daemons still keep their promises.
const (
	// SessionAffinity prefers the target that executed a program's previous turn, which
	// the ledger records.
	SessionAffinity Mechanism = iota
	// PrefixAssignment assigns engines to the prefixes that many programs share.
	PrefixAssignment
	// CacheModel estimates which prompts an engine has cached.
	CacheModel
	// ObjectAffinity prefers one target for the calls that concern one object.
	ObjectAffinity
	// DomainPreference prefers targets of the entry's own failure domain.
	DomainPreference
	// OthersLoad includes the calls of other entries in the estimate of a target's load.
	OthersLoad
	// QueueLimit sends no calls to targets with a long queue.
	QueueLimit
	// Ejection sends no calls to a target that failed recently, except for probes.
	Ejection
	// AtMostOncePenalty avoids targets that failed recently for calls that must not be
	// executed twice.
	AtMostOncePenalty
	// Failover moves calls from unresponsive targets to others.
	Failover
	// FailoverBudget limits the failovers of plain calls.
	FailoverBudget
	// Admission refuses new programs while the engines are loaded.
	Admission
	// AdaptiveAdmission adapts the admission limit to missed objectives.
	AdaptiveAdmission
	// MinimumShare admits some programs that are not urgent at any load.
	MinimumShare
	// FairShare divides the room of engines among client accounts while it is scarce.
	FairShare
	// PermitRoom counts the permits of targets with a rate limit, in place of their slots, as
	// room for new programs.
	PermitRoom
	// DurationCheck refuses calls that cannot end before their deadline.
	DurationCheck
	// OverloadDetection makes overloaded entries leave the balancer.
	OverloadDetection
	// LedgerGrace lets turns wait for a ledger that has just become unavailable.
	LedgerGrace
	// RelayedAppends sends records to one ledger member, which relays them to the others.
	RelayedAppends
	// FollowMembers follows the ledger members in place of the platform's store.
	FollowMembers
	// SegmentIndex reads an index of the ledger's disk at the start.
	SegmentIndex
	// WorkPrediction chooses targets by the predicted work of calls and by the pace of targets.
	WorkPrediction
)

var names = [...]string{
	SessionAffinity:   "session_affinity",
	PrefixAssignment:  "prefix_assignment",
	CacheModel:        "cache_model",
	ObjectAffinity:    "object_affinity",
	DomainPreference:  "domain_preference",
	OthersLoad:        "others_load",
	QueueLimit:        "queue_limit",
	Ejection:          "ejection",
	AtMostOncePenalty: "at_most_once_penalty",
	Failover:          "failover",
	FailoverBudget:    "failover_budget",
	Admission:         "admission",
	AdaptiveAdmission: "adaptive_admission",
	MinimumShare:      "minimum_share",
	FairShare:         "fair_share",
	PermitRoom:        "permit_room",
	DurationCheck:     "duration_check",
	OverloadDetection: "overload_detection",
	LedgerGrace:       "ledger_grace",
	RelayedAppends:    "relayed_appends",
	FollowMembers:     "follow_members",
	SegmentIndex:      "segment_index",
	WorkPrediction:    "work_prediction",
}

// Names returns the names of all mechanisms, as they appear in settings.
func Names() []string { return names[:] }

// Set is a set of disabled mechanisms. The zero value disables none.
type Set uint32

// Parse returns the set of the named mechanisms.
func Parse(disabled []string) (Set, error) {
	var s Set
	for _, name := range disabled {
		i := slices.Index(names[:], name)
		if i < 0 {
			return 0, fmt.Errorf("no mechanism is named %q; the names are %s", name, strings.Join(names[:], ", "))
		}
		s |= 1 << i
	}
	return s, nil
}

// Disables reports whether the set contains a mechanism.
func (s Set) Disables(m Mechanism) bool { return s&(1<<m) != 0 }
