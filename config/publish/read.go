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

// errDamaged says that a chunk is absent or not what its digest names.
var errDamaged = errors.New("the chunk is absent or damaged")

// ReadHead returns the head in force and its entry. Generation is zero if no
// set was applied yet.
func ReadHead(ctx context.Context, store Store) (Head, core.StoreRecord, error) {
	entry, err := store.Get(ctx, core.ConfigHeadKey)
	if err != nil {
		return Head{}, entry, &StepError{Step: "read", Key: core.ConfigHeadKey, Err: err}
	}
	head, err := ParseHead(entry)
	return head, entry, err
}

// ParseHead decodes an entry that holds a head. An absent entry gives the zero
// Head.
func ParseHead(entry core.StoreRecord) (Head, error) {
	var head Head
	if entry.Revision == 0 {
		return head, nil
	}
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return head, &StepError{Step: "decode", Key: entry.Key, Err: err}
	}
	return head, nil
}

// ReadSet returns the set that a head names.
func ReadSet(ctx context.Context, store Store, head Head) (*config.Set, error) {
	var text bytes.Buffer
	for _, digest := range head.Chunks {
		key := core.ConfigChunkPrefix + digest
		entry, err := store.Get(ctx, key)
		if err != nil {
			return nil, &StepError{Step: "read", Key: key, Err: err}
		}
		if digestOf(entry.Value) != digest {
			return nil, &StepError{Step: "read", Key: key, Err: errDamaged}
		}
		text.Write(entry.Value)
	}
	return load.SetBytes("generation "+short(head.Digest), text.Bytes())
}

// History returns all heads, newest first.
func History(ctx context.Context, store Store) ([]Head, error) {
	entries, err := store.Range(ctx, GenerationPrefix)
	if err != nil {
		return nil, &StepError{Step: "read", Key: GenerationPrefix, Err: err}
	}
	heads := make([]Head, 0, len(entries)+1)
	for _, entry := range entries {
		head, err := ParseHead(entry)
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
