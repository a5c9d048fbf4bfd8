package peer

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// FetchConfig reads the configuration in force at a peer, as canonical text. The
// text is empty unless the peer's generation is above known.
func (m *Client) FetchConfig(ctx context.Context, vm core.VM, known uint64) (uint64, []byte, error) {
	addr := m.address(string(vm))
	if addr == "" {
		return 0, nil, &DeliveryError{Step: "fetch configuration", Peer: string(vm), Err: errNoAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	slot := m.reader(string(vm))
	c := slot.get(addr)
	resp, err := c.client.FetchConfig(ctx, &peerpb.FetchConfigRequest{Generation: known})
	if err != nil {
		slot.discard(c)
		return 0, nil, &DeliveryError{Step: "fetch configuration", Peer: string(vm), Err: err}
	}
	return resp.GetGeneration(), resp.GetSet(), nil
}
