// Package publish applies a set to the platform's key-value service as a whole
// and reads it back. A set is stored as content-addressed chunks; one
// compare-and-swap of the head puts it in force.
package publish

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/load"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// GenerationPrefix begins the keys of the heads that were replaced.
const GenerationPrefix = "config/generation/"

const (
	// chunkBytes is the size of a chunk, below the service's limit of a megabyte.
	chunkBytes = 512 << 10
	// settleTries bounds the reads and swaps that settle a lost answer.
	settleTries = 8
	// settleWait is the pause between two of them.
	settleWait = 250 * time.Millisecond
)

// Store is the part of the key-value service that publishing needs.
type Store interface {
	Get(ctx context.Context, key string) (core.StoreRecord, error)
	Range(ctx context.Context, prefix string) ([]core.StoreRecord, error)
	// CompareAndSwap writes key if its revision is still revision. After an error the
	// write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error)
}

// Head names the set in force.
type Head struct {
	Generation uint64 `json:"generation"`
	// Digest is the SHA-256 digest of the set's canonical text.
	Digest string `json:"digest"`
	// Parent is the digest of the set before.
	Parent string   `json:"parent"`
	Chunks []string `json:"chunks"`
	// By and At say who applied the set and when.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Proposal is unique to one apply; reading it back settles a lost answer.
	Proposal string `json:"proposal"`
}

// ConflictError says that another apply won.
type ConflictError struct{ Winner Head }

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("apply: %s applied generation %d (%s) at the same time; read it with diff, then apply again",
		e.Winner.By, e.Winner.Generation, short(e.Winner.Digest))
}

// StepError says at which step of an apply the key-value service failed.
type StepError struct {
	Step string
	Key  string
	Err  error
}

// Error names step, key and cause.
func (e *StepError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Step, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

func short(digest string) string { return digest[:min(12, len(digest))] }

// Encode returns the canonical text of a set and its digest.
func Encode(set *config.Set) ([]byte, string, error) {
	text, err := yaml.MarshalWithOptions(set, yaml.OmitEmpty())
	if err != nil {
		return nil, "", err
	}
	return text, digestOf(text), nil
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Result says what an apply did.
type Result struct {
	Head Head
	// Unchanged means that the set was in force before.
	Unchanged bool
}

// Apply puts a set in force. Of several applies at the same moment one wins;
// the others get a ConflictError that names it.
func Apply(ctx context.Context, store Store, set *config.Set, by string) (Result, error) {
	text, digest, err := Encode(set)
	if err != nil {
		return Result{}, err
	}
	current, entry, err := ReadHead(ctx, store)
	if err != nil {
		return Result{}, err
	}
	if current.Digest == digest {
		return Result{Head: current, Unchanged: true}, nil
	}
	if err := checkChange(ctx, store, current, set); err != nil {
		return Result{}, err
	}
	if err := keepHead(ctx, store, current, entry); err != nil {
		return Result{}, err
	}
	chunks, err := writeChunks(ctx, store, text)
	if err != nil {
		return Result{}, err
	}
	head := Head{
		Generation: current.Generation + 1,
		Digest:     digest,
		Parent:     current.Digest,
		Chunks:     chunks,
		By:         by,
		At:         time.Now().UTC(),
		Proposal:   uuid.NewString(),
	}
	return swapHead(ctx, store, head, entry.Revision)
}

// checkChange refuses what cannot change while programs are under way.
func checkChange(ctx context.Context, store Store, current Head, set *config.Set) error {
	if current.Generation == 0 {
		return nil
	}
	old, err := ReadSet(ctx, store, current)
	if err != nil {
		return err
	}
	if old.Ownership.Slots != set.Ownership.Slots {
		return load.Errors{{
			File: "the set", Field: "ownership.slots",
			Text: fmt.Sprintf("cannot change from %d to %d: programs would lose their home", old.Ownership.Slots, set.Ownership.Slots),
			Fix:  fmt.Sprintf("write %d", old.Ownership.Slots),
		}}
	}
	return nil
}

// keepHead copies the head that is about to be replaced under its generation.
func keepHead(ctx context.Context, store Store, head Head, entry core.StoreRecord) error {
	if head.Generation == 0 {
		return nil
	}
	return createOnce(ctx, store, generationKey(head.Generation), entry.Value)
}

func generationKey(generation uint64) string {
	return fmt.Sprintf("%s%012d", GenerationPrefix, generation)
}

// writeChunks stores a text in content-addressed chunks and returns their
// digests.
func writeChunks(ctx context.Context, store Store, text []byte) ([]string, error) {
	var digests []string
	for len(text) > 0 {
		n := min(chunkBytes, len(text))
		digest := digestOf(text[:n])
		if err := createOnce(ctx, store, core.ConfigChunkPrefix+digest, text[:n]); err != nil {
			return nil, err
		}
		digests = append(digests, digest)
		text = text[n:]
	}
	return digests, nil
}

// createOnce writes a key unless it exists. Writing it twice is harmless: a
// key's value never changes.
func createOnce(ctx context.Context, store Store, key string, value []byte) error {
	var last error
	for range settleTries {
		entry, err := store.Get(ctx, key)
		if err == nil && entry.Revision > 0 {
			return nil
		}
		if err == nil {
			_, err = store.CompareAndSwap(ctx, key, 0, value)
		}
		if err == nil {
			return nil
		}
		last = err
		if err := pause(ctx); err != nil {
			return &StepError{Step: "write", Key: key, Err: errors.Join(last, err)}
		}
	}
	return &StepError{Step: "write", Key: key, Err: last}
}

// swapHead replaces the head. A lost answer is settled by reading the head
// back and comparing the proposal.
func swapHead(ctx context.Context, store Store, head Head, revision int64) (Result, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return Result{}, err
	}
	var last error
	for range settleTries {
		swapped, err := store.CompareAndSwap(ctx, core.ConfigHeadKey, revision, value)
		if err == nil && swapped {
			return Result{Head: head}, nil
		}
		last = err
		now, entry, err := ReadHead(ctx, store)
		if err == nil && now.Proposal == head.Proposal {
			return Result{Head: head}, nil
		}
		if err == nil && entry.Revision != revision {
			return settleLost(ctx, store, head, now)
		}
		if err := pause(ctx); err != nil {
			return Result{}, &StepError{Step: "swap", Key: core.ConfigHeadKey, Err: errors.Join(last, err)}
		}
	}
	return Result{}, &StepError{
		Step: "swap", Key: core.ConfigHeadKey,
		Err: errors.Join(errors.New("the outcome is not known; read it with history"), last),
	}
}

// settleLost decides between a swap that won and was replaced since, and one
// that lost.
func settleLost(ctx context.Context, store Store, head, now Head) (Result, error) {
	entry, err := store.Get(ctx, generationKey(head.Generation))
	if err != nil {
		return Result{}, &StepError{Step: "read back", Key: generationKey(head.Generation), Err: err}
	}
	if entry.Revision == 0 {
		return Result{}, &ConflictError{Winner: now}
	}
	var kept Head
	if err := json.Unmarshal(entry.Value, &kept); err != nil {
		return Result{}, &StepError{Step: "read back", Key: entry.Key, Err: err}
	}
	if kept.Proposal == head.Proposal {
		return Result{Head: head}, nil
	}
	return Result{}, &ConflictError{Winner: kept}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settleWait):
		return nil
	}
}
