package member_test

import (
	"context"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/transport"
)

// holds says whether a member's answers count and it holds so many records, under
// the membership of a version.
func holds(addr string, version uint64, records int) bool {
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
