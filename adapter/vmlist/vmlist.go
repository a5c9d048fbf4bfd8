// Package vmlist reads the platform's VM list from a file or over HTTP. The list
// is in JSON:
//
//	{"vms":[{"id":"vm-1","domain":"milano-a","role":"sidecar","pool":"assistant",
//	         "state":"live","address":"10.0.0.1:7000"}]}
//
// The role is "entry" or "sidecar", the state "live" or "leaving". A sidecar must
// have a pool.
package vmlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Names of roles and states in the list.
const (
	roleEntry    = "entry"
	roleSidecar  = "sidecar"
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Source provides the VM list.
type Source interface {
	// Read returns the current list. Errors are of type *Error.
	Read(ctx context.Context) ([]core.VMInfo, error)
}

// Step names the operation that failed.
type Step string

// Steps of reading a list.
const (
	StepRead  Step = "read"
	StepParse Step = "parse"
)

// Error is a failure to read the VM list.
type Error struct {
	Step Step
	// Peer is the file or the URL of the list, or "" if it is not known.
	Peer string
	// Index is the index of the invalid VM in the list, or -1.
	Index int
	Err   error
}

// Error returns the step, the source, the index and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s VM list", e.Step)
	if e.Peer != "" {
		text += " " + e.Peer
	}
	if e.Index >= 0 {
		text += fmt.Sprintf(": vms[%d]", e.Index)
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wireList is the JSON form of the list.
type wireList struct {
	VMs *[]wireVM `json:"vms"`
}

// wireVM is the JSON form of a VM.
type wireVM struct {
	ID      string `json:"id"`
	Domain  string `json:"domain"`
	Role    string `json:"role"`
	Pool    string `json:"pool,omitempty"`
	State   string `json:"state"`
	Address string `json:"address"`
}

// Parse parses a list. A list without "vms" is an error, so that an unrelated
// JSON document is not mistaken for a platform without VMs. Errors are of type
// *Error.
func Parse(data []byte) ([]core.VMInfo, error) {
	var w wireList
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, &Error{Step: StepParse, Index: -1, Err: err}
	}
	if w.VMs == nil {
		return nil, &Error{Step: StepParse, Index: -1, Err: errors.New(`"vms" is missing`)}
	}
	seen := make(map[string]struct{}, len(*w.VMs))
	vms := make([]core.VMInfo, 0, len(*w.VMs))
	for i, vm := range *w.VMs {
		info, err := vm.info()
		if _, duplicate := seen[vm.ID]; duplicate && err == nil {
			err = fmt.Errorf("id %q is listed twice", vm.ID)
		}
		if err != nil {
			return nil, &Error{Step: StepParse, Index: i, Err: err}
		}
		seen[vm.ID] = struct{}{}
		vms = append(vms, info)
	}
	return vms, nil
}

// info validates the VM and returns it as a core.VMInfo.
func (w *wireVM) info() (core.VMInfo, error) {
	info := core.VMInfo{
		VM:     core.VM(w.ID),
		Domain: core.Domain(w.Domain),
		Pool:   core.Pool(w.Pool),
		Addr:   w.Address,
	}
	switch w.Role {
	case roleEntry:
		info.Role = core.RoleEntry
	case roleSidecar:
		info.Role = core.RoleSidecar
	default:
		return info, fmt.Errorf("role %q is neither %s nor %s", w.Role, roleEntry, roleSidecar)
	}
	switch w.State {
	case stateLive:
	case stateLeaving:
		info.Leaving = true
	default:
		return info, fmt.Errorf("state %q is neither %s nor %s", w.State, stateLive, stateLeaving)
	}
	if w.ID == "" {
		return info, errors.New("id is missing")
	}
	if w.Domain == "" {
		return info, errors.New("domain is missing")
	}
	if w.Role == roleSidecar && w.Pool == "" {
		return info, errors.New("a sidecar's pool is missing")
	}
	if _, err := netip.ParseAddrPort(w.Address); err != nil {
		return info, fmt.Errorf("address %q is not an IP address and port", w.Address)
	}
	return info, nil
}

// Format returns the JSON form of a list, the inverse of Parse.
func Format(vms []core.VMInfo) ([]byte, error) {
	wire := make([]wireVM, 0, len(vms))
	for _, vm := range vms {
		w := wireVM{
			ID:      string(vm.VM),
			Domain:  string(vm.Domain),
			Role:    roleEntry,
			Pool:    string(vm.Pool),
			State:   stateLive,
			Address: vm.Addr,
		}
		if vm.Role == core.RoleSidecar {
			w.Role = roleSidecar
		}
		if vm.Leaving {
			w.State = stateLeaving
		}
		wire = append(wire, w)
	}
	return json.Marshal(wireList{VMs: &wire})
}
