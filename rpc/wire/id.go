package wire

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// FromNode returns the protobuf form of a node, or nil for the zero node.
func FromNode(n core.Node) *peerpb.Node {
	if n == (core.Node{}) {
		return nil
	}
	return encodeNode(n)
}

// encodeNode returns the protobuf form of a node. Unlike FromNode, it returns a
// non-nil message for the zero node, because elements of lists must not be nil.
func encodeNode(n core.Node) *peerpb.Node {
	return &peerpb.Node{Vm: string(n.VM), Inc: uint64(n.Inc)}
}

// ToNode returns the node that p represents.
func ToNode(p *peerpb.Node) core.Node {
	return core.Node{VM: core.VM(p.GetVm()), Inc: core.Incarnation(p.GetInc())}
}

func fromEpoch(e core.Epoch) *peerpb.Epoch {
	if e == (core.Epoch{}) {
		return nil
	}
	return &peerpb.Epoch{Version: e.Version, Rank: e.Rank}
}

func toEpoch(p *peerpb.Epoch) core.Epoch {
	return core.Epoch{Version: p.GetVersion(), Rank: p.GetRank()}
}

// FromAttempt returns the protobuf form of an attempt ID, or nil for the zero ID.
func FromAttempt(a core.AttemptID) *peerpb.AttemptID {
	if a.IsZero() {
		return nil
	}
	return &peerpb.AttemptID{Slot: uint32(a.Slot), Epoch: fromEpoch(a.Epoch), N: a.N}
}

// ToAttempt returns the attempt ID that p represents.
func ToAttempt(p *peerpb.AttemptID) core.AttemptID {
	return core.AttemptID{Slot: core.SlotID(p.GetSlot()), Epoch: toEpoch(p.GetEpoch()), N: p.GetN()}
}

func fromRequest(r core.RequestID) *peerpb.RequestID {
	if r == (core.RequestID{}) {
		return nil
	}
	return &peerpb.RequestID{Edge: FromNode(r.Ingress), N: r.N}
}

func toRequest(p *peerpb.RequestID) core.RequestID {
	return core.RequestID{Ingress: ToNode(p.GetEdge()), N: p.GetN()}
}
