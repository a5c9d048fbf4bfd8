// Package segment stores records in files that are only appended to. Each record
// carries a checksum; what a loss of power left unfinished at the end is cut off
// when the files are opened.
package segment

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

const (
	// headerBytes is a record's length and checksum, four bytes each.
	headerBytes = 8
	// MaxRecordBytes bounds one record; a greater length marks a torn header.
	MaxRecordBytes = 64 << 20
	// rotateBytes is the size at which a new file is begun, so that expired
	// records free their space in pieces.
	rotateBytes = 16 << 20
	// scanBytes is the buffer with which files are read at the start.
	scanBytes = 256 << 10
	suffix    = ".log"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Error is a failure of the disk.
type Error struct {
	// Step is open, scan, write, sync, read or remove.
	Step string
	// Peer is the path of the file.
	Peer string
	Err  error
}

// Error returns the step, the file and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ledger %s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Log is the set of files in a folder. Append is called by one goroutine; Read
// may be called by any.
type Log struct {
	dir string

	mu    sync.RWMutex
	files map[uint32]*os.File

	current uint32
	size    int64
	buffer  []byte
}

// Open reads the folder's files and passes each record to visit, oldest first.
// Damaged is true if a record that had been synced cannot be read: the folder no
// longer holds all that was acknowledged.
func Open(dir string, visit func(ledger.Location, []byte) error) (log *Log, damaged bool, err error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, false, &Error{Step: "open", Peer: dir, Err: err}
	}
	numbers, err := list(dir)
	if err != nil {
		return nil, false, err
	}
	l := &Log{dir: dir, files: make(map[uint32]*os.File)}
	for i, number := range numbers {
		size, err := l.load(number, visit)
		if err != nil {
			return nil, false, err
		}
		last := i == len(numbers)-1
		if !last {
			full, err := l.files[number].Seek(0, io.SeekEnd)
			if err != nil {
				return nil, false, &Error{Step: "scan", Peer: l.path(number), Err: err}
			}
			damaged = damaged || full > size
			continue
		}
		l.current, l.size = number, size
	}
	return l, damaged, nil
}

func list(dir string) ([]uint32, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &Error{Step: "open", Peer: dir, Err: err}
	}
	var numbers []uint32
	for _, e := range entries {
		name, isLog := strings.CutSuffix(e.Name(), suffix)
		number, err := strconv.ParseUint(name, 10, 32)
		if isLog && err == nil {
			numbers = append(numbers, uint32(number))
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *Log) path(number uint32) string {
	return filepath.Join(l.dir, fmt.Sprintf("%08d%s", number, suffix))
}

// load opens one file and returns where its whole records end.
func (l *Log) load(number uint32, visit func(ledger.Location, []byte) error) (int64, error) {
	path := l.path(number)
	file, err := os.OpenFile(path, os.O_RDWR, 0o640)
	if err != nil {
		return 0, &Error{Step: "open", Peer: path, Err: err}
	}
	l.files[number] = file
	in := bufio.NewReaderSize(file, scanBytes)
	offset := int64(0)
	for {
		payload, ok := next(in)
		if !ok {
			return offset, nil
		}
		at := ledger.Location{Segment: number, Offset: uint32(offset + headerBytes), Length: uint32(len(payload))}
		if err := visit(at, payload); err != nil {
			return 0, &Error{Step: "scan", Peer: path, Err: err}
		}
		offset += int64(headerBytes + len(payload))
	}
}

// next reads one record, or returns false if it is not whole.
func next(in io.Reader) ([]byte, bool) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length == 0 || length > MaxRecordBytes {
		return nil, false
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(in, payload); err != nil {
		return nil, false
	}
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(header[4:])
}

// Append writes the records and returns when they are durable. After an error
// none of them counts; what was written of them is overwritten.
func (l *Log) Append(records [][]byte) ([]ledger.Location, error) {
	file, err := l.writable()
	if err != nil {
		return nil, err
	}
	l.buffer = l.buffer[:0]
	locations := make([]ledger.Location, len(records))
	for i, rec := range records {
		locations[i] = ledger.Location{
			Segment: l.current,
			Offset:  uint32(l.size) + uint32(len(l.buffer)) + headerBytes,
			Length:  uint32(len(rec)),
		}
		l.buffer = binary.LittleEndian.AppendUint32(l.buffer, uint32(len(rec)))
		l.buffer = binary.LittleEndian.AppendUint32(l.buffer, crc32.Checksum(rec, castagnoli))
		l.buffer = append(l.buffer, rec...)
	}
	if _, err := file.WriteAt(l.buffer, l.size); err != nil {
		return nil, &Error{Step: "write", Peer: file.Name(), Err: err}
	}
	if err := syncData(file); err != nil {
		return nil, &Error{Step: "sync", Peer: file.Name(), Err: err}
	}
	l.size += int64(len(l.buffer))
	return locations, nil
}

// syncData makes a file's content and size durable.
func syncData(file *os.File) error {
	for {
		err := syscall.Fdatasync(int(file.Fd()))
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// writable returns the file to append to and begins a new one when it is full.
func (l *Log) writable() (*os.File, error) {
	l.mu.RLock()
	file := l.files[l.current]
	l.mu.RUnlock()
	if file != nil && l.size < rotateBytes {
		return file, nil
	}
	if file != nil {
		// Nothing may follow the last record of a file that is not the last one.
		if err := file.Truncate(l.size); err != nil {
			return nil, &Error{Step: "write", Peer: file.Name(), Err: err}
		}
		if err := file.Sync(); err != nil {
			return nil, &Error{Step: "sync", Peer: file.Name(), Err: err}
		}
	}
	return l.create(l.current + 1)
}

func (l *Log) create(number uint32) (*os.File, error) {
	path := l.path(number)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o640)
	if err != nil {
		return nil, &Error{Step: "open", Peer: path, Err: err}
	}
	if err := l.syncDir(); err != nil {
		_ = file.Close()
		return nil, err
	}
	l.mu.Lock()
	l.files[number] = file
	l.mu.Unlock()
	l.current, l.size = number, 0
	return file, nil
}

// syncDir makes created and removed names durable.
func (l *Log) syncDir() error {
	dir, err := os.Open(l.dir)
	if err != nil {
		return &Error{Step: "open", Peer: l.dir, Err: err}
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return &Error{Step: "sync", Peer: l.dir, Err: err}
	}
	return nil
}

// Read returns the record at a location.
func (l *Log) Read(at ledger.Location) ([]byte, error) {
	l.mu.RLock()
	file := l.files[at.Segment]
	l.mu.RUnlock()
	if file == nil {
		return nil, &Error{Step: "read", Peer: l.path(at.Segment), Err: os.ErrNotExist}
	}
	data := make([]byte, at.Length)
	if _, err := file.ReadAt(data, int64(at.Offset)); err != nil {
		return nil, &Error{Step: "read", Peer: file.Name(), Err: err}
	}
	return data, nil
}

// Drop removes a file that is no longer needed.
func (l *Log) Drop(number uint32) error {
	l.mu.Lock()
	file := l.files[number]
	delete(l.files, number)
	l.mu.Unlock()
	if file == nil {
		return nil
	}
	closed := file.Close()
	if err := errors.Join(closed, os.Remove(l.path(number))); err != nil {
		return &Error{Step: "remove", Peer: l.path(number), Err: err}
	}
	return nil
}

// Close closes all files.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for _, file := range l.files {
		errs = append(errs, file.Close())
	}
	return errors.Join(errs...)
}
