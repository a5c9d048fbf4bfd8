package publish

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// errDamaged is the cause when a chunk is missing or does not match its digest.
var errDamaged = errors.New("the chunk is missing or damaged")

// ReadHead returns the head in force and its store record. The head's Generation is
// zero if no set has been applied yet.
func ReadHead(ctx context.Context, store Store) (Head, core.StoreRecord, error) {
	record, err := store.Get(ctx, core.ConfigHeadKey)
	if err != nil {
		return Head{}, record, &StepError{Step: "read", Key: core.ConfigHeadKey, Err: err}
	}
	head, err := ParseHead(record)
	return head, record, err
}

// ParseHead decodes a store record that contains a head. It returns the zero Head
// for a key that does not exist.
func ParseHead(record core.StoreRecord) (Head, error) {
	var head Head
	if record.Revision == 0 {
		return head, nil
	}
	if err := json.Unmarshal(record.Value, &head); err != nil {
		return head, &StepError{Step: "decode", Key: record.Key, Err: err}
	}
	return head, nil
}

// ReadSet reads the chunks of the set that a head names and returns the set.
func ReadSet(ctx context.Context, store Store, head Head) (*config.Set, error) {
	var text bytes.Buffer
	for _, digest := range head.Chunks {
		key := core.ConfigChunkPrefix + digest
		record, err := store.Get(ctx, key)
		if err != nil {
			return nil, &StepError{Step: "read", Key: key, Err: err}
		}
		if digestOf(record.Value) != digest {
			return nil, &StepError{Step: "read", Key: key, Err: errDamaged}
		}
		text.Write(record.Value)
	}
	return load.SetBytes("generation "+shortDigest(head.Digest), text.Bytes())
}

// History returns the heads of all generations, newest first.
func History(ctx context.Context, store Store) ([]Head, error) {
	records, err := store.Range(ctx, GenerationPrefix)
	if err != nil {
		return nil, &StepError{Step: "read", Key: GenerationPrefix, Err: err}
	}
	heads := make([]Head, 0, len(records)+1)
	for _, record := range records {
		head, err := ParseHead(record)
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	head, _, err := ReadHead(ctx, store)
	if err != nil {
		return nil, err
	}
	if head.Generation > 0 {
		heads = append(heads, head)
	}
	slices.SortFunc(heads, func(a, b Head) int { return int(b.Generation) - int(a.Generation) })
	return slices.CompactFunc(heads, func(a, b Head) bool { return a.Generation == b.Generation }), nil
}
