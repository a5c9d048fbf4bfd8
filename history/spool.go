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

// DefaultDiskBytes bounds the bodies on disk.
const DefaultDiskBytes = 4 << 30

const (
	spoolSuffix = ".body"
	tempPattern = "write-*.tmp"
)

// spool keeps bodies in files of a folder, one a program.
type spool struct {
	folder string
	limit  int64
	bytes  int64
	files  map[core.ProgramID]*spooled
	// order holds the programs, the last written last.
	order []core.ProgramID
}

type spooled struct {
	meta  Meta
	bytes int64
}

// openSpool reads what a folder holds. Files that cannot be read as bodies, such
// as those of a write that a crash cut, are removed.
func openSpool(folder string, limit int64) (*spool, error) {
	if limit == 0 {
		limit = DefaultDiskBytes
	}
	s := &spool{folder: folder, limit: limit, files: make(map[core.ProgramID]*spooled)}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, &DiskError{Step: "make", Path: folder, Err: err}
	}
	found, err := os.ReadDir(folder)
	if err != nil {
		return nil, &DiskError{Step: "list", Path: folder, Err: err}
	}
	for _, file := range found {
		if err := s.adopt(file.Name()); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// adopt takes a file of an earlier life in.
func (s *spool) adopt(name string) error {
	path := filepath.Join(s.folder, name)
	switch {
	case strings.HasSuffix(name, ".tmp"):
		return remove(path)
	case !strings.HasSuffix(name, spoolSuffix):
		return nil
	}
	e, err := load(path)
	var corrupt *CorruptError
	if errors.As(err, &corrupt) || err == nil && name != fileName(e.Program) {
		return remove(path)
	}
	if err != nil {
		return err
	}
	s.note(e)
	return s.trim()
}

func load(path string) (*Entry, error) {
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

// fileName returns the file of a program. Program ids hold slashes and may be
// longer than a file name.
func fileName(program core.ProgramID) string {
	sum := sha256.Sum256([]byte(program))
	return hex.EncodeToString(sum[:16]) + spoolSuffix
}

func (s *spool) path(program core.ProgramID) string {
	return filepath.Join(s.folder, fileName(program))
}

func (s *spool) meta(program core.ProgramID) *Meta {
	if f := s.files[program]; f != nil {
		return &f.meta
	}
	return nil
}

// write replaces the file of a program. A crash leaves the old file or the new
// one whole: the new one takes its name only once it is on the disk.
func (s *spool) write(e *Entry) error {
	b, err := e.Encode()
	if err != nil {
		return err
	}
	path := s.path(e.Program)
	if err := replace(s.folder, path, b); err != nil {
		return &DiskError{Step: "write", Path: path, Err: err}
	}
	s.forget(e.Program)
	s.note(e)
	return s.trim()
}

func replace(folder, path string, b []byte) error {
	temp, err := os.CreateTemp(folder, tempPattern)
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
	return syncFolder(folder)
}

// syncFolder makes a change of names in a folder last.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func (s *spool) note(e *Entry) {
	f := &spooled{meta: e.Meta, bytes: int64(len(e.Data))}
	s.files[e.Program] = f
	s.order = append(s.order, e.Program)
	s.bytes += f.bytes
}

func (s *spool) forget(program core.ProgramID) {
	f := s.files[program]
	if f == nil {
		return
	}
	delete(s.files, program)
	s.order = slices.DeleteFunc(s.order, func(p core.ProgramID) bool { return p == program })
	s.bytes -= f.bytes
}

// trim removes the files written longest ago until the rest fits.
func (s *spool) trim() error {
	for s.bytes > s.limit {
		if err := s.drop(s.order[0]); err != nil {
			return err
		}
	}
	return nil
}

func (s *spool) drop(program core.ProgramID) error {
	s.forget(program)
	return remove(s.path(program))
}

// read returns the body of a program from its file. A corrupted file is removed.
func (s *spool) read(program core.ProgramID) (*Entry, error) {
	e, err := load(s.path(program))
	var corrupt *CorruptError
	if errors.As(err, &corrupt) {
		return nil, errors.Join(err, s.drop(program))
	}
	return e, err
}

// release removes the files of a program and its sub-agents.
func (s *spool) release(top core.ProgramID) error {
	for _, program := range slices.Clone(s.order) {
		if !within(program, top) {
			continue
		}
		if err := s.drop(program); err != nil {
			return err
		}
	}
	return nil
}
