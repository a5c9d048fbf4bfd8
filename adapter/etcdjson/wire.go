// Package etcdjson implements store.Store for a key-value service with etcd's
// published v3 JSON API over HTTP. In this API, keys and values are in base64 and
// 64-bit integers are strings.
package etcdjson

import (
	"encoding/json"
	"strconv"
)

// Paths of the API.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathDeleteRange = "/v3/kv/deleterange"
	PathTxn         = "/v3/kv/txn"
	PathGrant       = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathRevoke      = "/v3/lease/revoke"
	PathWatch       = "/v3/watch"
)

// Error codes of the API; they are gRPC status codes.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// Names of comparison results and targets, and of the type of a removal event.
const (
	ResultEqual    = "EQUAL"
	ResultGreater  = "GREATER"
	ResultLess     = "LESS"
	ResultNotEqual = "NOT_EQUAL"
	TargetVersion  = "VERSION"
	TargetCreate   = "CREATE"
	TargetMod      = "MOD"
	TargetValue    = "VALUE"
	EventDelete    = "DELETE"
)

// Int64 is an integer that is encoded as a JSON string. It can be decoded from a
// string or a number.
type Int64 int64

// MarshalJSON encodes the number as a string.
func (n Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON decodes a number or a string that contains a number.
func (n *Int64) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		var s string
		if err := json.Unmarshal(data, &s); err != nil {
			return err
		}
		v, err := strconv.ParseInt(s, 10, 64)
		*n = Int64(v)
		return err
	}
	var v int64
	err := json.Unmarshal(data, &v)
	*n = Int64(v)
	return err
}

// JSON forms of the API's messages, with only the fields that this package uses.
type (
	// Header is part of every response.
	Header struct {
		Revision Int64 `json:"revision"`
	}
	// KeyValue is a key with its value and revisions.
	KeyValue struct {
		Key            []byte `json:"key"`
		CreateRevision Int64  `json:"create_revision,omitempty"`
		ModRevision    Int64  `json:"mod_revision,omitempty"`
		Version        Int64  `json:"version,omitempty"`
		Value          []byte `json:"value,omitempty"`
		Lease          Int64  `json:"lease,omitempty"`
	}
	// RangeRequest reads the keys from Key up to, but not including, RangeEnd.
	RangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
		Limit    Int64  `json:"limit,omitempty"`
	}
	// RangeResponse answers a RangeRequest.
	RangeResponse struct {
		Header Header     `json:"header"`
		KVs    []KeyValue `json:"kvs,omitempty"`
		Count  Int64      `json:"count,omitempty"`
	}
	// PutRequest writes a key.
	PutRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value,omitempty"`
		Lease Int64  `json:"lease,omitempty"`
	}
	// PutResponse answers a PutRequest.
	PutResponse struct {
		Header Header `json:"header"`
	}
	// DeleteRequest removes the keys from Key up to, but not including, RangeEnd.
	DeleteRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	// DeleteResponse answers a DeleteRequest.
	DeleteResponse struct {
		Header  Header `json:"header"`
		Deleted Int64  `json:"deleted,omitempty"`
	}
	// Compare is a condition of a transaction.
	Compare struct {
		Result         string `json:"result,omitempty"`
		Target         string `json:"target,omitempty"`
		Key            []byte `json:"key"`
		Version        Int64  `json:"version,omitempty"`
		CreateRevision Int64  `json:"create_revision,omitempty"`
		ModRevision    Int64  `json:"mod_revision,omitempty"`
		Value          []byte `json:"value,omitempty"`
	}
	// RequestOp is an operation of a transaction; exactly one field is set.
	RequestOp struct {
		Range  *RangeRequest  `json:"request_range,omitempty"`
		Put    *PutRequest    `json:"request_put,omitempty"`
		Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	}
	// ResponseOp answers a RequestOp.
	ResponseOp struct {
		Range  *RangeResponse  `json:"response_range,omitempty"`
		Put    *PutResponse    `json:"response_put,omitempty"`
		Delete *DeleteResponse `json:"response_delete_range,omitempty"`
	}
	// TxnRequest executes Success if all comparisons hold, else Failure.
	TxnRequest struct {
		Compare []Compare   `json:"compare,omitempty"`
		Success []RequestOp `json:"success,omitempty"`
		Failure []RequestOp `json:"failure,omitempty"`
	}
	// TxnResponse answers a TxnRequest.
	TxnResponse struct {
		Header    Header       `json:"header"`
		Succeeded bool         `json:"succeeded,omitempty"`
		Responses []ResponseOp `json:"responses,omitempty"`
	}
	// GrantRequest starts a lease; TTL is in seconds.
	GrantRequest struct {
		TTL Int64 `json:"TTL"`
		ID  Int64 `json:"ID,omitempty"`
	}
	// GrantResponse answers a GrantRequest.
	GrantResponse struct {
		Header Header `json:"header"`
		ID     Int64  `json:"ID"`
		TTL    Int64  `json:"TTL"`
	}
	// LeaseRequest identifies a lease to keep alive or to revoke.
	LeaseRequest struct {
		ID Int64 `json:"ID"`
	}
	// KeepAliveResponse answers a keep-alive; a TTL of zero means that the lease
	// has ended.
	KeepAliveResponse struct {
		Result struct {
			Header Header `json:"header"`
			ID     Int64  `json:"ID"`
			TTL    Int64  `json:"TTL,omitempty"`
		} `json:"result"`
	}
	// RevokeResponse answers the revocation of a lease.
	RevokeResponse struct {
		Header Header `json:"header"`
	}
	// WatchRequest starts a watch.
	WatchRequest struct {
		Create WatchCreate `json:"create_request"`
	}
	// WatchCreate selects the keys to watch and the first revision to report.
	WatchCreate struct {
		Key            []byte `json:"key"`
		RangeEnd       []byte `json:"range_end,omitempty"`
		StartRevision  Int64  `json:"start_revision,omitempty"`
		ProgressNotify bool   `json:"progress_notify,omitempty"`
	}
	// WatchResponse is one message of a watch.
	WatchResponse struct {
		Result WatchResult `json:"result"`
		Error  *Status     `json:"error,omitempty"`
	}
	// WatchResult holds the changes of a watch.
	WatchResult struct {
		Header          Header  `json:"header"`
		Created         bool    `json:"created,omitempty"`
		Canceled        bool    `json:"canceled,omitempty"`
		CompactRevision Int64   `json:"compact_revision,omitempty"`
		Events          []Event `json:"events,omitempty"`
	}
	// Event is a change of one key.
	Event struct {
		Type string   `json:"type,omitempty"`
		KV   KeyValue `json:"kv"`
	}
	// Status is an error of the API.
	Status struct {
		Error   string `json:"error,omitempty"`
		Code    int    `json:"code,omitempty"`
		Message string `json:"message,omitempty"`
	}
)

// PrefixEnd returns the RangeEnd for the range of all keys with a prefix.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	// In the API, a range end of one zero byte means all keys from Key on.
	return []byte{0}
}
