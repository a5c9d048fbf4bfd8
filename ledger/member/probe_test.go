package member_test

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

// isReadyWith reports whether the member at addr uses the view with the given
// version, is ready and has at least the given number of records.
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
