// Package segment stores records in append-only files. Each record carries a
// checksum. When the files are opened, reading stops at a record that a power failure
// left incomplete at the end of the last file, and later appends overwrite it. Records
// that an index file describes are not read then; Read checks each one.
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
	// headerBytes is the size of a record's header: its length and checksum, four bytes
	// each.
	headerBytes = 8
	// MaxRecordBytes bounds one record; a greater length means a torn header.
	MaxRecordBytes = 64 << 20
	// rotateBytes is the size at which a new file is started. Files are deleted as a
	// whole, so smaller files free the space of expired records in smaller steps.
	rotateBytes = 16 << 20
	// scanBufferBytes is the size of the buffer for reading the files at startup.
	scanBufferBytes = 256 << 10
	fileSuffix      = ".log"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Error is a failed disk operation.
type Error struct {
	// Step is open, scan, write, sync, read or remove.
	Step string
	// Peer is the path of the segment file or of its directory.
	Peer string
	Err  error
}

// Error returns the step, the file and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ledger %s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrDamaged means that a stored record does not match its checksum.
var ErrDamaged = errors.New("the record is damaged")

// Log is the set of segment files in a directory. Only one goroutine may call Append;
// Read, Drop and AppendIndex may be called concurrently.
type Log struct {
	dir string

	mu    sync.RWMutex
	files map[uint32]*os.File

	indexMu sync.Mutex
	indexes map[uint32]indexFile

	current uint32
	size    int64
	buffer  []byte
}

// Visitor receives what Open finds, in the order in which it was written.
type Visitor struct {
	// Frame receives the content of an index frame and the range that it describes. If it
	// is nil, the index files are not used.
	Frame func(described Range, content []byte) error
	// Record receives a record that no index frame describes. The payload is only valid during
	// the call.
	Record func(ledger.Location, []byte) error
}

// Open reads the files of the directory and passes their content to the visitor. Damaged
// is true if a synced record cannot be read, so that the directory lacks records that were
// acknowledged. Records that an index describes are not read.
func Open(dir string, visitor Visitor) (log *Log, damaged bool, err error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, false, &Error{Step: "open", Peer: dir, Err: err}
	}
	numbers, err := listSegments(dir)
	if err != nil {
		return nil, false, err
	}
	l := &Log{dir: dir, files: make(map[uint32]*os.File), indexes: make(map[uint32]indexFile)}
	if err := l.removeOrphanedIndexes(); err != nil {
		return nil, false, err
	}
	for i, number := range numbers {
		validSize, fileSize, lostRecords, err := l.loadFile(number, visitor)
		if err != nil {
			return nil, false, err
		}
		damaged = damaged || lostRecords
		if i < len(numbers)-1 {
			damaged = damaged || fileSize > validSize
			continue
		}
		l.current, l.size = number, validSize
	}
	return l, damaged, nil
}

func listSegments(dir string) ([]uint32, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &Error{Step: "open", Peer: dir, Err: err}
	}
	var numbers []uint32
	for _, e := range entries {
		name, isLog := strings.CutSuffix(e.Name(), fileSuffix)
		number, err := strconv.ParseUint(name, 10, 32)
		if isLog && err == nil {
			numbers = append(numbers, uint32(number))
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *Log) path(number uint32) string {
	return filepath.Join(l.dir, fmt.Sprintf("%08d%s", number, fileSuffix))
}

// loadFile opens one file. It returns the offset at which its valid records end, its size
// and whether it has lost records that its index describes.
func (l *Log) loadFile(number uint32, visitor Visitor) (validSize, fileSize int64, lostRecords bool, err error) {
	path := l.path(number)
	file, err := os.OpenFile(path, os.O_RDWR, 0o640)
	if err != nil {
		return 0, 0, false, &Error{Step: "open", Peer: path, Err: err}
	}
	l.files[number] = file
	if fileSize, err = file.Seek(0, io.SeekEnd); err != nil {
		return 0, 0, false, &Error{Step: "scan", Peer: path, Err: err}
	}
	covered, lostRecords, err := l.loadIndex(number, fileSize, visitor.Frame)
	if err != nil {
		return 0, 0, false, err
	}
	validSize, err = l.scan(number, int64(covered), fileSize, visitor.Record)
	return validSize, fileSize, lostRecords, err
}

// scan reads the records of a file from an offset to its end, and returns the offset at
// which the valid ones end.
func (l *Log) scan(number uint32, offset, fileSize int64, visit func(ledger.Location, []byte) error) (int64, error) {
	in := bufio.NewReaderSize(io.NewSectionReader(l.files[number], offset, fileSize-offset), scanBufferBytes)
	var payload []byte
	for {
		var ok bool
		if payload, ok = readRecord(in, payload); !ok {
			return offset, nil
		}
		at := ledger.Location{Segment: number, Offset: uint32(offset + headerBytes), Length: uint32(len(payload))}
		if err := visit(at, payload); err != nil {
			return 0, &Error{Step: "scan", Peer: l.path(number), Err: err}
		}
		offset += int64(headerBytes + len(payload))
	}
}

// readRecord reads one record into buffer if it fits, or returns false if it is incomplete or
// corrupt.
func readRecord(in io.Reader, buffer []byte) ([]byte, bool) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length == 0 || length > MaxRecordBytes {
		return nil, false
	}
	payload := slices.Grow(buffer[:0], int(length))[:length]
	if _, err := io.ReadFull(in, payload); err != nil {
		return nil, false
	}
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(header[4:])
}

// Append writes the records and returns when they are durable. After an error none of
// them is stored; the next Append overwrites any part that was written.
func (l *Log) Append(records [][]byte) ([]ledger.Location, error) {
	file, err := l.writableFile()
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

// writableFile returns the file to append to. It starts a new file if the current one is
// full.
func (l *Log) writableFile() (*os.File, error) {
	l.mu.RLock()
	file := l.files[l.current]
	l.mu.RUnlock()
	if file != nil && l.size < rotateBytes {
		return file, nil
	}
	if file != nil {
		// A failed append may have left bytes after the last valid record. They are
		// removed, since Open would report them as damage once this file is no longer
		// the last.
		if err := file.Truncate(l.size); err != nil {
			return nil, &Error{Step: "write", Peer: file.Name(), Err: err}
		}
		if err := file.Sync(); err != nil {
			return nil, &Error{Step: "sync", Peer: file.Name(), Err: err}
		}
	}
	return l.createFile(l.current + 1)
}

func (l *Log) createFile(number uint32) (*os.File, error) {
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

// syncDir makes the creation and removal of files durable.
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

// Read returns the record at a location. It returns ErrDamaged if the record does not
// match its checksum or is beyond the end of the file.
func (l *Log) Read(at ledger.Location) ([]byte, error) {
	l.mu.RLock()
	file := l.files[at.Segment]
	l.mu.RUnlock()
	if file == nil {
		return nil, &Error{Step: "read", Peer: l.path(at.Segment), Err: os.ErrNotExist}
	}
	data := make([]byte, headerBytes+at.Length)
	if _, err := file.ReadAt(data, int64(at.Offset)-headerBytes); err != nil {
		if errors.Is(err, io.EOF) {
			err = ErrDamaged
		}
		return nil, &Error{Step: "read", Peer: file.Name(), Err: err}
	}
	header, payload := data[:headerBytes], data[headerBytes:]
	if binary.LittleEndian.Uint32(header) != at.Length || binary.LittleEndian.Uint32(header[4:]) != crc32.Checksum(payload, castagnoli) {
		return nil, &Error{Step: "read", Peer: file.Name(), Err: ErrDamaged}
	}
	return payload, nil
}

// has reports whether there is a file with that number.
func (l *Log) has(number uint32) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.files[number] != nil
}

// Drop closes and deletes a file with its index. It does nothing if there is no such file.
func (l *Log) Drop(number uint32) error {
	l.mu.Lock()
	file := l.files[number]
	delete(l.files, number)
	l.mu.Unlock()
	if file == nil {
		return nil
	}
	closeErr := file.Close()
	if err := errors.Join(closeErr, os.Remove(l.path(number)), l.dropIndex(number)); err != nil {
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
