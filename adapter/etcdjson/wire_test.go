package etcdjson

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWireFormat checks samples from etcd's published API documentation.
func TestWireFormat(t *testing.T) {
	out, err := json.Marshal(TxnRequest{
		Compare: []Compare{{Result: ResultEqual, Target: TargetCreate, Key: []byte("foo"), CreateRevision: 2}},
		Success: []RequestOp{{Put: &PutRequest{Key: []byte("foo"), Value: []byte("bar")}}},
	})
	require.NoError(t, err)
	require.JSONEq(t, `{"compare":[{"result":"EQUAL","target":"CREATE","key":"Zm9v","create_revision":"2"}],
		"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`, string(out))
	var in RangeResponse
	require.NoError(t, json.Unmarshal([]byte(`{"header":{"cluster_id":"12585971608760269493","revision":"2","raft_term":"3"},
		"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":2,"version":"1","value":"YmFy"}],"count":"1"}`), &in))
	want := KeyValue{Key: []byte("foo"), CreateRevision: 2, ModRevision: 2, Version: 1, Value: []byte("bar")}
	require.Equal(t, []KeyValue{want}, in.KVs)
}

func TestPrefixEnd(t *testing.T) {
	tests := []struct{ prefix, want string }{
		{"a", "b"},
		{"slots/", "slots0"},
		{"a\xff", "b"},
		{"\xff", "\x00"},
		{"", "\x00"},
	}
	for _, tt := range tests {
		require.Equal(t, []byte(tt.want), PrefixEnd([]byte(tt.prefix)))
	}
}

func FuzzWatchResponse(f *testing.F) {
	f.Add([]byte(`{"result":{"header":{"revision":"3"},"events":[{"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"3"}}]}}`))
	f.Add([]byte(`{"result":{"events":[{"kv":{"mod_revision":"x"}}]}}`))
	c, err := New(Options{Endpoints: []string{"127.0.0.1:1"}})
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m WatchResponse
		if json.NewDecoder(bytes.NewReader(data)).Decode(&m) != nil {
			return
		}
		require.Len(t, c.changes(m.Result.Events), len(m.Result.Events))
	})
}
