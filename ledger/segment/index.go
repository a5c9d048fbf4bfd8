package segment

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger"
)

// An index file lies beside a segment file and describes its records from the first one
// up to some offset, so that opening the directory need not read the records themselves.
// It consists of indexHeader and frames, each with a length, a checksum, the range of the
// segment file that it describes, and content that this package does not interpret.
// Invariant: a frame is written after the records that it describes are durable.
const (
	indexSuffix = ".idx"
	// indexHeader names the format and its version. A file with another header is not
	// used, and is written anew.
	indexHeader = "RSIX0001"
	// rangeBytes is the size of the range in a frame: two offsets of four bytes.
	rangeBytes = 8
)

// Range is a part of a segment file that holds complete records with their headers.
type Range struct {
	Segment uint32
	// From and To are offsets in bytes; To is exclusive.
	From, To uint32
}

// RangeOf returns the range of the record at a location.
func RangeOf(at ledger.Location) Range {
	return Range{Segment: at.Segment, From: at.Offset - headerBytes, To: at.Offset + at.Length}
}

// Join returns the range that consists of r and of next, which must follow it.
func (r Range) Join(next Range) Range { return Range{Segment: r.Segment, From: r.From, To: next.To} }

// Locations passes the locations of the records in the range to visit, given the sizes of
// the records in bytes. It returns false if these do not fill the range.
func (r Range) Locations(lengths []uint32, visit func(i int, at ledger.Location)) bool {
	total := uint64(r.From)
	for _, length := range lengths {
		total += headerBytes + uint64(length)
	}
	if total != uint64(r.To) {
		return false
	}
	offset := r.From
	for i, length := range lengths {
		visit(i, ledger.Location{Segment: r.Segment, Offset: offset + headerBytes, Length: length})
		offset += headerBytes + length
	}
	return true
}

// indexFile is the state of one index file.
type indexFile struct {
	// size is the size of its valid part, and covered the offset in the segment file up
	// to which that part describes the records.
	size    int64
	covered uint32
}

func (l *Log) indexPath(number uint32) string {
	return strings.TrimSuffix(l.path(number), fileSuffix) + indexSuffix
}

// readFrames returns the valid frames of a segment's index, in order. It stops at the
// first one that is incomplete, damaged or does not follow the one before it.
func (l *Log) readFrames(number uint32) (frames [][]byte, index indexFile, err error) {
	data, err := os.ReadFile(l.indexPath(number))
	if errors.Is(err, os.ErrNotExist) {
		return nil, indexFile{}, nil
	}
	if err != nil {
		return nil, indexFile{}, &Error{Step: "scan", Peer: l.indexPath(number), Err: err}
	}
	if !bytes.HasPrefix(data, []byte(indexHeader)) {
		return nil, indexFile{}, nil
	}
	in := bytes.NewReader(data[len(indexHeader):])
	index.size = int64(len(indexHeader))
	for {
		frame, ok := readRecord(in, nil)
		if !ok || len(frame) < rangeBytes || binary.LittleEndian.Uint32(frame) != index.covered {
			return frames, index, nil
		}
		frames = append(frames, frame)
		index.size += int64(headerBytes + len(frame))
		index.covered = binary.LittleEndian.Uint32(frame[4:])
	}
}

// loadIndex passes the frames of a segment's index to visit and returns the offset up to
// which they describe the segment file. If the file is shorter than that, it has lost
// synced records; the index is then not used, and damaged is true. Without a visitor the
// index is not used either, and AppendIndex writes a new one.
func (l *Log) loadIndex(number uint32, fileSize int64, visit func(Range, []byte) error) (covered uint32, damaged bool, err error) {
	if visit == nil {
		l.indexes[number] = indexFile{}
		return 0, false, nil
	}
	frames, index, err := l.readFrames(number)
	if err != nil {
		return 0, false, err
	}
	if int64(index.covered) > fileSize {
		l.indexes[number] = indexFile{}
		return 0, true, nil
	}
	for _, frame := range frames {
		described := Range{Segment: number, From: covered, To: binary.LittleEndian.Uint32(frame[4:])}
		if err := visit(described, frame[rangeBytes:]); err != nil {
			return 0, false, &Error{Step: "scan", Peer: l.indexPath(number), Err: err}
		}
		covered = described.To
	}
	l.indexes[number] = index
	return covered, false, nil
}

// removeOrphanedIndexes removes index files without a segment file.
func (l *Log) removeOrphanedIndexes() error {
	paths, err := filepath.Glob(filepath.Join(l.dir, "*"+indexSuffix))
	if err != nil {
		return &Error{Step: "open", Peer: l.dir, Err: err}
	}
	for _, path := range paths {
		if _, err := os.Stat(strings.TrimSuffix(path, indexSuffix) + fileSuffix); !errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err := os.Remove(path); err != nil {
			return &Error{Step: "remove", Peer: path, Err: err}
		}
	}
	return nil
}

// AppendIndex adds a frame that describes a range of durable records and returns when it
// is durable. Ranges must follow each other, from the offset that Open reported or from
// the last range. It does nothing if the segment has been dropped.
func (l *Log) AppendIndex(described Range, content []byte) error {
	l.indexMu.Lock()
	defer l.indexMu.Unlock()
	if !l.has(described.Segment) {
		return nil
	}
	path := l.indexPath(described.Segment)
	index := l.indexes[described.Segment]
	if index.covered != described.From {
		return &Error{Step: "write", Peer: path, Err: fmt.Errorf("the frame begins at %d, the index ends at %d", described.From, index.covered)}
	}
	data, offset := make([]byte, 0, len(indexHeader)+headerBytes+rangeBytes+len(content)), index.size
	if offset == 0 {
		data = append(data, indexHeader...)
	}
	data = appendFrame(data, described, content)
	if err := writeIndex(path, data, offset); err != nil {
		return &Error{Step: "write", Peer: path, Err: err}
	}
	l.indexes[described.Segment] = indexFile{size: offset + int64(len(data)), covered: described.To}
	return nil
}

func appendFrame(data []byte, described Range, content []byte) []byte {
	payload := binary.LittleEndian.AppendUint32(make([]byte, 0, rangeBytes+len(content)), described.From)
	payload = append(binary.LittleEndian.AppendUint32(payload, described.To), content...)
	data = binary.LittleEndian.AppendUint32(data, uint32(len(payload)))
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
	return append(data, payload...)
}

// writeIndex durably writes data at an offset of an index file and cuts off what follows.
func writeIndex(path string, data []byte, offset int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o640)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(data, offset)
	if err == nil {
		err = file.Truncate(offset + int64(len(data)))
	}
	if err == nil {
		err = syncData(file)
	}
	return errors.Join(err, file.Close())
}

// dropIndex removes the index of a segment that has been dropped.
func (l *Log) dropIndex(number uint32) error {
	l.indexMu.Lock()
	defer l.indexMu.Unlock()
	delete(l.indexes, number)
	if err := os.Remove(l.indexPath(number)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}
