package history

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// DefaultDiskBytes bounds the total size of the conversations on disk.
const DefaultDiskBytes = 4 << 30

const (
	fileSuffix  = ".body"
	tempPattern = "write-*.tmp"
)

// diskStore stores conversations in a directory, one file per program.
type diskStore struct {
	dir   string
	limit int64
	bytes int64
	files map[core.ProgramID]*diskFile
	// writeOrder holds the programs in the order in which they were last written.
	writeOrder []core.ProgramID
}

type diskFile struct {
	meta  Meta
	bytes int64
}

// openDiskStore opens a directory and loads the files in it. It removes corrupt
// files, and temporary files that a crash during a write has left.
func openDiskStore(dir string, limit int64) (*diskStore, error) {
	if limit == 0 {
		limit = DefaultDiskBytes
	}
	s := &diskStore{dir: dir, limit: limit, files: make(map[core.ProgramID]*diskFile)}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, &DiskError{Step: "make", Path: dir, Err: err}
	}
	dirEntries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &DiskError{Step: "list", Path: dir, Err: err}
	}
	for _, file := range dirEntries {
		if err := s.loadExisting(file.Name()); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// loadExisting adds a file that was written before the process started.
func (s *diskStore) loadExisting(name string) error {
	path := filepath.Join(s.dir, name)
	switch {
	case strings.HasSuffix(name, ".tmp"):
		return remove(path)
	case !strings.HasSuffix(name, fileSuffix):
		return nil
	}
	e, err := loadFile(path)
	var corrupt *CorruptError
	if errors.As(err, &corrupt) || err == nil && name != fileName(e.Program) {
		return remove(path)
	}
	if err != nil {
		return err
	}
	s.track(e)
	return s.evict()
}

func loadFile(path string) (*StoredConversation, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &DiskError{Step: "read", Path: path, Err: err}
	}
	return Decode(b)
}

func remove(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return &DiskError{Step: "remove", Path: path, Err: err}
	}
	return nil
}

// fileName returns the name of a program's file. It is a digest, because program
// ids contain slashes and may exceed the maximum length of a file name.
func fileName(program core.ProgramID) string {
	sum := sha256.Sum256([]byte(program))
	return hex.EncodeToString(sum[:16]) + fileSuffix
}

func (s *diskStore) path(program core.ProgramID) string {
	return filepath.Join(s.dir, fileName(program))
}

func (s *diskStore) meta(program core.ProgramID) *Meta {
	if f := s.files[program]; f != nil {
		return &f.meta
	}
	return nil
}

// write replaces the file of a program. The new file is renamed to its final name
// only after it has been synced. A crash therefore leaves either the complete old
// file or the complete new one.
func (s *diskStore) write(e *StoredConversation) error {
	b, err := e.Encode()
	if err != nil {
		return err
	}
	path := s.path(e.Program)
	if err := writeAtomically(s.dir, path, b); err != nil {
		return &DiskError{Step: "write", Path: path, Err: err}
	}
	s.untrack(e.Program)
	s.track(e)
	return s.evict()
}

func writeAtomically(dir, path string, b []byte) error {
	temp, err := os.CreateTemp(dir, tempPattern)
	if err != nil {
		return err
	}
	_, err = temp.Write(b)
	if err == nil {
		err = temp.Sync()
	}
	err = errors.Join(err, temp.Close())
	if err == nil {
		err = os.Rename(temp.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(temp.Name()))
	}
	return syncDir(dir)
}

// syncDir makes renames in a directory durable.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (s *diskStore) track(e *StoredConversation) {
	f := &diskFile{meta: e.Meta, bytes: int64(len(e.Data))}
	s.files[e.Program] = f
	s.writeOrder = append(s.writeOrder, e.Program)
	s.bytes += f.bytes
}

func (s *diskStore) untrack(program core.ProgramID) {
	f := s.files[program]
	if f == nil {
		return
	}
	delete(s.files, program)
	s.writeOrder = slices.DeleteFunc(s.writeOrder, func(p core.ProgramID) bool { return p == program })
	s.bytes -= f.bytes
}

// evict removes the least recently written files until the remaining ones fit
// into the limit.
func (s *diskStore) evict() error {
	for s.bytes > s.limit {
		if err := s.removeProgram(s.writeOrder[0]); err != nil {
			return err
		}
	}
	return nil
}

func (s *diskStore) removeProgram(program core.ProgramID) error {
	s.untrack(program)
	return remove(s.path(program))
}

// read returns the conversation in a program's file. It removes a corrupt file.
func (s *diskStore) read(program core.ProgramID) (*StoredConversation, error) {
	e, err := loadFile(s.path(program))
	var corrupt *CorruptError
	if errors.As(err, &corrupt) {
		return nil, errors.Join(err, s.removeProgram(program))
	}
	return e, err
}

// removeTree removes the files of a program and of its sub-agents.
func (s *diskStore) removeTree(top core.ProgramID) error {
	for _, program := range slices.Clone(s.writeOrder) {
		if !inTree(program, top) {
			continue
		}
		if err := s.removeProgram(program); err != nil {
			return err
		}
	}
	return nil
}
