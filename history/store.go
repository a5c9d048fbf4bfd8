package history

import (
	"container/list"
	"strings"
	"sync"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// DefaultBytes bounds the total size of the compressed conversations in memory.
const DefaultBytes = 64 << 20

// Options are the settings of a Store.
type Options struct {
	// Bytes bounds the compressed conversations in memory; zero means
	// DefaultBytes.
	Bytes int64
	// Dir is the directory in which conversations are also stored on disk; if it
	// is empty they are in memory only.
	Dir string
	// DiskBytes bounds the conversations on disk; zero means DefaultDiskBytes.
	DiskBytes int64
}

// Store holds the newest conversation of each program. When the memory limit is
// reached, it evicts the least recently used conversations from memory. It is safe
// for concurrent use.
type Store struct {
	codec     *codec
	reader    *Reader
	limit     int64
	diskStore *diskStore

	mu       sync.Mutex
	bytes    int64
	elements map[core.ProgramID]*list.Element
	// lru holds the conversations in memory, the most recently used first.
	lru *list.List
	// fences holds the highest epoch seen for each slot.
	fences map[core.SlotID]core.Epoch
	closed bool
}

// Open returns a store with the conversations found in its directory.
func Open(options Options) (*Store, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	s := &Store{
		codec:    c,
		reader:   &Reader{codec: c},
		limit:    options.Bytes,
		elements: make(map[core.ProgramID]*list.Element),
		lru:      list.New(),
		fences:   make(map[core.SlotID]core.Epoch),
	}
	if s.limit == 0 {
		s.limit = DefaultBytes
	}
	if options.Dir == "" {
		return s, nil
	}
	s.diskStore, err = openDiskStore(options.Dir, options.DiskBytes)
	return s, err
}

// Close waits for the change of the directory that is in progress, if any, and makes all
// later changes fail with ErrClosed, so that the directory may be opened again.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// Compress checks that messages have the digest in m, and returns them in compressed
// form.
func (s *Store) Compress(m Meta, messages []byte) (*StoredConversation, error) {
	if err := Verify(messages, m.Digest, m.Blocks); err != nil {
		return nil, err
	}
	return s.codec.compress(m, messages), nil
}

// Put stores a conversation and replaces the program's older one. It fails with a
// *FenceError, *AccountError, *StaleError, *TooLargeError, *DiskError or ErrClosed.
func (s *Store) Put(e *StoredConversation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.advanceFence(e.Attempt.Slot, e.Attempt.Epoch); err != nil {
		return err
	}
	if err := s.checkReplaceable(e); err != nil {
		return err
	}
	// The older conversation is outdated even if storing the newer one fails.
	s.remove(e.Program)
	if s.diskStore != nil {
		if err := s.diskStore.write(e); err != nil {
			return err
		}
	}
	return s.insert(e)
}

// checkReplaceable returns an error if e must not replace the program's stored
// conversation.
func (s *Store) checkReplaceable(e *StoredConversation) error {
	stored := s.meta(e.Program)
	switch {
	case stored == nil:
		return nil
	case stored.Account != e.Account:
		return &AccountError{Program: e.Program}
	case isOlder(e.Attempt, stored.Attempt):
		return &StaleError{Program: e.Program, Got: e.Attempt, Stored: stored.Attempt}
	}
	return nil
}

func (s *Store) meta(program core.ProgramID) *Meta {
	if element := s.elements[program]; element != nil {
		return &element.Value.(*StoredConversation).Meta
	}
	if s.diskStore != nil {
		return s.diskStore.meta(program)
	}
	return nil
}

// insert adds a conversation to memory and evicts others until all fit into the
// limit. A conversation that alone exceeds the limit stays on disk only; without a
// disk store, insert returns a *TooLargeError for it.
func (s *Store) insert(e *StoredConversation) error {
	size := int64(len(e.Data))
	if size > s.limit {
		if s.diskStore != nil {
			return nil
		}
		return &TooLargeError{Program: e.Program, Bytes: len(e.Data)}
	}
	s.elements[e.Program] = s.lru.PushFront(e)
	s.bytes += size
	for s.bytes > s.limit {
		s.evict(s.lru.Back())
	}
	return nil
}

func (s *Store) evict(element *list.Element) {
	e := s.lru.Remove(element).(*StoredConversation)
	delete(s.elements, e.Program)
	s.bytes -= int64(len(e.Data))
}

func (s *Store) remove(program core.ProgramID) {
	if element := s.elements[program]; element != nil {
		s.evict(element)
	}
}

// Get returns the messages that a reference identifies, as a JSON array.
func (s *Store) Get(ref Ref) ([]byte, error) {
	e, err := s.Conversation(ref)
	if err != nil {
		return nil, err
	}
	return s.reader.Messages(e, ref)
}

// Conversation returns the stored conversation of the reference's program, in
// compressed form. It does not check the digest of the messages; Reader.Messages
// does.
func (s *Store) Conversation(ref Ref) (*StoredConversation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.advanceFence(ref.Slot, ref.Epoch); err != nil {
		return nil, err
	}
	notFound := &NotFoundError{Program: ref.Program, Digest: ref.Digest}
	meta := s.meta(ref.Program)
	switch {
	case meta == nil:
		return nil, notFound
	case meta.Account != ref.Account:
		return nil, &AccountError{Program: ref.Program}
	case meta.Blocks < ref.Blocks:
		return nil, notFound
	}
	if element := s.elements[ref.Program]; element != nil {
		s.lru.MoveToFront(element)
		return element.Value.(*StoredConversation), nil
	}
	e, err := s.diskStore.read(ref.Program)
	if err != nil {
		return nil, err
	}
	return e, s.insert(e)
}

// Release removes the conversations of a program and of its sub-agents.
func (s *Store) Release(slot core.SlotID, epoch core.Epoch, top core.ProgramID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.advanceFence(slot, epoch); err != nil {
		return err
	}
	for program := range s.elements {
		if inTree(program, top) {
			s.remove(program)
		}
	}
	if s.diskStore != nil {
		return s.diskStore.removeTree(top)
	}
	return nil
}

// DropIfDigest removes the conversation of a program if it has the given digest.
func (s *Store) DropIfDigest(slot core.SlotID, epoch core.Epoch, program core.ProgramID, digest uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.advanceFence(slot, epoch); err != nil {
		return err
	}
	if meta := s.meta(program); meta == nil || meta.Digest != digest {
		return nil
	}
	s.remove(program)
	if s.diskStore != nil {
		return s.diskStore.removeProgram(program)
	}
	return nil
}

// inTree reports whether a program is top or one of its sub-agents, at any depth.
func inTree(program, top core.ProgramID) bool {
	return program == top || strings.HasPrefix(string(program), string(top)+"/")
}

// advanceFence records the epoch of a slot. It returns a *FenceError if a higher
// one has been seen, and ErrClosed if the store is closed.
func (s *Store) advanceFence(slot core.SlotID, epoch core.Epoch) error {
	if s.closed {
		return ErrClosed
	}
	seen := s.fences[slot]
	if epoch.Less(seen) {
		return &FenceError{Slot: slot, Got: epoch, Seen: seen}
	}
	s.fences[slot] = epoch
	return nil
}

// Contains reports whether a conversation of a program is stored.
func (s *Store) Contains(program core.ProgramID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meta(program) != nil
}

// Conversations returns the conversations in memory, the most recently used first.
func (s *Store) Conversations() []*StoredConversation {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*StoredConversation, 0, s.lru.Len())
	for element := s.lru.Front(); element != nil; element = element.Next() {
		out = append(out, element.Value.(*StoredConversation))
	}
	return out
}

// Bytes returns the total size of the compressed conversations in memory.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
