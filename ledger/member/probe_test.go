package member_test

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

// isReadyWith reports whether the member is ready and has at least that many records,
// under the view of that version.
func isReadyWith(addr string, version uint64, records int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := transport.Dial(ctx, addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	response, err := conn.Call(ctx, &ledgerpb.Request{ViewVersion: version, Call: &ledgerpb.Request_ListKeys{ListKeys: &ledgerpb.ListKeys{}}})
	return err == nil && response.GetStatus() == ledgerpb.Status_STATUS_OK && len(response.GetKeys()) >= records
}
