// Package publish stores configuration sets in the platform's key-value service and
// reads them back. A set is stored as content-addressed chunks. One compare-and-swap
// of the head, a record that names the set in force, then puts the set in force
// atomically.
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

// GenerationPrefix is the prefix of the keys under which replaced heads are archived.
const GenerationPrefix = "config/generation/"

const (
	// chunkBytes is the size of a chunk, below the service's limit of one megabyte.
	chunkBytes = 512 << 10
	// writeAttempts bounds the attempts to write a key. Each attempt also reads the
	// key, to find out whether a write whose response was lost took effect.
	writeAttempts = 8
	// retryDelay is the time between two attempts.
	retryDelay = 250 * time.Millisecond
)

// Store is the part of the key-value service that publishing needs.
type Store interface {
	Get(ctx context.Context, key string) (core.StoreRecord, error)
	Range(ctx context.Context, prefix string) ([]core.StoreRecord, error)
	// CompareAndSwap writes key if its current revision equals revision. After an
	// error the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte) (bool, error)
}

// Head is the stored record that names the set in force.
type Head struct {
	Generation uint64 `json:"generation"`
	// Digest is the SHA-256 digest of the set's canonical text, in hexadecimal.
	Digest string `json:"digest"`
	// Parent is the digest of the previous set.
	Parent string   `json:"parent"`
	Chunks []string `json:"chunks"`
	// By and At say who applied the set and when.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Proposal is unique to one apply. If the response to the write of the head is
	// lost, the stored Proposal shows whether that write took effect.
	Proposal string `json:"proposal"`
}

// ConflictError reports that a concurrent apply has replaced the head first.
type ConflictError struct{ Winner Head }

// Error names the apply that won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("apply: %s applied generation %d (%s) at the same time; read it with diff, then apply again",
		e.Winner.By, e.Winner.Generation, shortDigest(e.Winner.Digest))
}

// StepError reports the step of an apply, a read or a history at which the
// key-value service failed or returned invalid data.
type StepError struct {
	Step string
	Key  string
	Err  error
}

// Error names step, key and cause.
func (e *StepError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Step, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

func shortDigest(digest string) string { return digest[:min(12, len(digest))] }

// EncodeSet returns the canonical text of a set and its digest.
func EncodeSet(set *config.Set) ([]byte, string, error) {
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

// Result is the result of an apply.
type Result struct {
	Head Head
	// Unchanged means that the set was already in force.
	Unchanged bool
}

// Apply puts a set in force. Of several concurrent applies one wins; the others
// return a ConflictError that names it.
func Apply(ctx context.Context, store Store, set *config.Set, by string) (Result, error) {
	text, digest, err := EncodeSet(set)
	if err != nil {
		return Result{}, err
	}
	current, record, err := ReadHead(ctx, store)
	if err != nil {
		return Result{}, err
	}
	if current.Digest == digest {
		return Result{Head: current, Unchanged: true}, nil
	}
	if err := checkChange(ctx, store, current, set); err != nil {
		return Result{}, err
	}
	if err := archiveHead(ctx, store, current, record); err != nil {
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
	return replaceHead(ctx, store, head, record.Revision)
}

// checkChange returns an error for a change that is not possible while programs are
// in progress.
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
			Text: fmt.Sprintf("cannot change from %d to %d: programs would lose their owner", old.Ownership.Slots, set.Ownership.Slots),
			Fix:  fmt.Sprintf("write %d", old.Ownership.Slots),
		}}
	}
	return nil
}

// archiveHead copies a head to the key of its generation, before the head is
// replaced.
func archiveHead(ctx context.Context, store Store, head Head, record core.StoreRecord) error {
	if head.Generation == 0 {
		return nil
	}
	return createIfAbsent(ctx, store, generationKey(head.Generation), record.Value)
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
		if err := createIfAbsent(ctx, store, core.ConfigChunkPrefix+digest, text[:n]); err != nil {
			return nil, err
		}
		digests = append(digests, digest)
		text = text[n:]
	}
	return digests, nil
}

// createIfAbsent writes a key unless it exists. It is used for keys whose value never
// changes, so it may safely retry a write that has taken effect.
func createIfAbsent(ctx context.Context, store Store, key string, value []byte) error {
	var lastErr error
	for range writeAttempts {
		record, err := store.Get(ctx, key)
		if err == nil && record.Revision > 0 {
			return nil
		}
		if err == nil {
			_, err = store.CompareAndSwap(ctx, key, 0, value)
		}
		if err == nil {
			return nil
		}
		lastErr = err
		if err := waitBeforeRetry(ctx); err != nil {
			return &StepError{Step: "write", Key: key, Err: errors.Join(lastErr, err)}
		}
	}
	return &StepError{Step: "write", Key: key, Err: lastErr}
}

// replaceHead replaces the stored head if its current revision equals revision. If
// the response is lost, it reads the head back and compares the Proposal to find out
// whether the write took effect.
func replaceHead(ctx context.Context, store Store, head Head, revision int64) (Result, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return Result{}, err
	}
	var lastErr error
	for range writeAttempts {
		swapped, err := store.CompareAndSwap(ctx, core.ConfigHeadKey, revision, value)
		if err == nil && swapped {
			return Result{Head: head}, nil
		}
		lastErr = err
		current, record, err := ReadHead(ctx, store)
		if err == nil && current.Proposal == head.Proposal {
			return Result{Head: head}, nil
		}
		if err == nil && record.Revision != revision {
			return resolveLostUpdate(ctx, store, head, current)
		}
		if err := waitBeforeRetry(ctx); err != nil {
			return Result{}, &StepError{Step: "swap", Key: core.ConfigHeadKey, Err: errors.Join(lastErr, err)}
		}
	}
	return Result{}, &StepError{
		Step: "swap", Key: core.ConfigHeadKey,
		Err: errors.Join(errors.New("the outcome is unknown; check it with history"), lastErr),
	}
}

// resolveLostUpdate is called when the stored head, current, is not the one that this
// apply wrote. The write of head may have taken effect, and then been replaced by a
// later apply: this is a success. Otherwise a concurrent apply has won, and
// resolveLostUpdate returns a *ConflictError.
func resolveLostUpdate(ctx context.Context, store Store, head, current Head) (Result, error) {
	record, err := store.Get(ctx, generationKey(head.Generation))
	if err != nil {
		return Result{}, &StepError{Step: "read back", Key: generationKey(head.Generation), Err: err}
	}
	if record.Revision == 0 {
		return Result{}, &ConflictError{Winner: current}
	}
	var archived Head
	if err := json.Unmarshal(record.Value, &archived); err != nil {
		return Result{}, &StepError{Step: "read back", Key: record.Key, Err: err}
	}
	if archived.Proposal == head.Proposal {
		return Result{Head: head}, nil
	}
	return Result{}, &ConflictError{Winner: archived}
}

func waitBeforeRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(retryDelay):
		return nil
	}
}
