package peer

import (
	"context"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/peerpb"
)

// FetchConfig returns the generation of the configuration that is active at a
// peer, and the configuration as canonical text. The text is empty unless the
// generation is above known.
func (c *Client) FetchConfig(ctx context.Context, vm core.VM, known uint64) (uint64, []byte, error) {
	addr := c.address(string(vm))
	if addr == "" {
		return 0, nil, &DeliveryError{Step: "fetch configuration", Peer: string(vm), Err: errNoAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	holder := c.callConn(string(vm))
	cc := holder.get(addr)
	resp, err := cc.service.FetchConfig(ctx, &peerpb.FetchConfigRequest{Generation: known})
	if err != nil {
		holder.discard(cc)
		return 0, nil, &DeliveryError{Step: "fetch configuration", Peer: string(vm), Err: err}
	}
	return resp.GetGeneration(), resp.GetSet(), nil
}
