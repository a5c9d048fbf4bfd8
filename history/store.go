package history

import (
	"container/list"
	"strings"
	"sync"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// DefaultBytes bounds the compressed bodies that a store holds in memory.
const DefaultBytes = 64 << 20

// Options are the settings of a Store.
type Options struct {
	// Bytes bounds the compressed bodies in memory; zero means DefaultBytes.
	Bytes int64
	// Dir takes the bodies on disk as well; empty keeps them in memory only.
	Dir string
	// DiskBytes bounds the bodies on disk; zero means DefaultSpoolBytes.
	DiskBytes int64
}

// Store holds the newest body of each program. It forgets those that have not
// been used for longest when it is full. It may be used concurrently.
type Store struct {
	codec  *codec
	reader *Reader
	limit  int64
	spool  *spool

	mu     sync.Mutex
	bytes  int64
	bodies map[core.ProgramID]*list.Element
	// order holds the entries, the most recently used first.
	order *list.List
	// fences holds the highest epoch seen of each slot.
	fences map[core.SlotID]core.Epoch
}

// Open returns a store with what its folder holds.
func Open(options Options) (*Store, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	s := &Store{
		codec:  c,
		reader: &Reader{codec: c},
		limit:  options.Bytes,
		bodies: make(map[core.ProgramID]*list.Element),
		order:  list.New(),
		fences: make(map[core.SlotID]core.Epoch),
	}
	if s.limit == 0 {
		s.limit = DefaultBytes
	}
	if options.Dir == "" {
		return s, nil
	}
	s.spool, err = openSpool(options.Dir, options.DiskBytes)
	return s, err
}

// Compress checks a conversation against the digest chain and returns it in its
// compressed form.
func (s *Store) Compress(m Meta, messages []byte) (*Entry, error) {
	if err := Verify(messages, m.Digest, m.Blocks); err != nil {
		return nil, err
	}
	return s.codec.compress(m, messages), nil
}

// Put keeps a body in place of the program's older one.
func (s *Store) Put(e *Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fence(e.Attempt.Slot, e.Attempt.Epoch); err != nil {
		return err
	}
	if err := s.replaceable(e); err != nil {
		return err
	}
	// An older body is of no use once a newer one was to be kept.
	s.remove(e.Program)
	if s.spool != nil {
		if err := s.spool.write(e); err != nil {
			return err
		}
	}
	return s.insert(e)
}

// replaceable reports why an entry may not replace the one kept.
func (s *Store) replaceable(e *Entry) error {
	kept := s.meta(e.Program)
	switch {
	case kept == nil:
		return nil
	case kept.Account != e.Account:
		return &AccountError{Program: e.Program}
	case older(e.Attempt, kept.Attempt):
		return &StaleError{Program: e.Program, Got: e.Attempt, Kept: kept.Attempt}
	}
	return nil
}

func (s *Store) meta(program core.ProgramID) *Meta {
	if at := s.bodies[program]; at != nil {
		return &at.Value.(*Entry).Meta
	}
	if s.spool != nil {
		return s.spool.meta(program)
	}
	return nil
}

// insert keeps an entry in memory and forgets others until it fits.
func (s *Store) insert(e *Entry) error {
	size := int64(len(e.Data))
	if size > s.limit {
		if s.spool != nil {
			return nil
		}
		return &TooLargeError{Program: e.Program, Bytes: len(e.Data)}
	}
	s.bodies[e.Program] = s.order.PushFront(e)
	s.bytes += size
	for s.bytes > s.limit {
		s.drop(s.order.Back())
	}
	return nil
}

func (s *Store) drop(at *list.Element) {
	e := s.order.Remove(at).(*Entry)
	delete(s.bodies, e.Program)
	s.bytes -= int64(len(e.Data))
}

func (s *Store) remove(program core.ProgramID) {
	if at := s.bodies[program]; at != nil {
		s.drop(at)
	}
}

// Get returns the messages that a reference names, as a JSON array.
func (s *Store) Get(ref Ref) ([]byte, error) {
	e, err := s.Entry(ref)
	if err != nil {
		return nil, err
	}
	return s.reader.Messages(e, ref)
}

// Entry returns the body that holds the messages of a reference. Its reader
// checks them.
func (s *Store) Entry(ref Ref) (*Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fence(ref.Slot, ref.Epoch); err != nil {
		return nil, err
	}
	lost := &NotFoundError{Program: ref.Program, Digest: ref.Digest}
	meta := s.meta(ref.Program)
	switch {
	case meta == nil:
		return nil, lost
	case meta.Account != ref.Account:
		return nil, &AccountError{Program: ref.Program}
	case meta.Blocks < ref.Blocks:
		return nil, lost
	}
	if at := s.bodies[ref.Program]; at != nil {
		s.order.MoveToFront(at)
		return at.Value.(*Entry), nil
	}
	e, err := s.spool.read(ref.Program)
	if err != nil {
		return nil, err
	}
	return e, s.insert(e)
}

// Release forgets the bodies of a program and its sub-agents.
func (s *Store) Release(slot core.SlotID, epoch core.Epoch, top core.ProgramID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fence(slot, epoch); err != nil {
		return err
	}
	for program := range s.bodies {
		if within(program, top) {
			s.remove(program)
		}
	}
	if s.spool != nil {
		return s.spool.release(top)
	}
	return nil
}

// DropIfDigest forgets the body of a program if it is the one that a digest names.
func (s *Store) DropIfDigest(slot core.SlotID, epoch core.Epoch, program core.ProgramID, digest uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fence(slot, epoch); err != nil {
		return err
	}
	if meta := s.meta(program); meta == nil || meta.Digest != digest {
		return nil
	}
	s.remove(program)
	if s.spool != nil {
		return s.spool.drop(program)
	}
	return nil
}

// within reports whether a program is top or one of its sub-agents.
func within(program, top core.ProgramID) bool {
	return program == top || strings.HasPrefix(string(program), string(top)+"/")
}

// fence refuses an epoch below the highest seen for its slot.
func (s *Store) fence(slot core.SlotID, epoch core.Epoch) error {
	seen := s.fences[slot]
	if epoch.Less(seen) {
		return &FenceError{Slot: slot, Got: epoch, Seen: seen}
	}
	s.fences[slot] = epoch
	return nil
}

// Contains reports whether a body of a program is kept.
func (s *Store) Contains(program core.ProgramID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meta(program) != nil
}

// Entries returns what the store holds in memory, the most recently used first.
func (s *Store) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Entry, 0, s.order.Len())
	for at := s.order.Front(); at != nil; at = at.Next() {
		out = append(out, at.Value.(*Entry))
	}
	return out
}

// Bytes returns the size of the bodies in memory.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}
