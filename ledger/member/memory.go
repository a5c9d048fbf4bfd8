package member

import (
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// memoryShare is the share of the VM's memory for large requests and for responses. The rest
	// is for the index of the records, small requests and garbage.
	memoryShare = 0.3
	// relayShare is the share of that up to which the requests of entries are admitted, so that
	// members can complete what they have relayed for them.
	relayShare = 0.5
	// appendShare is the share of the VM's memory for the records of appends in flight.
	appendShare = 0.15
	// largeRequestBytes is the size above which a request is admitted before it is read.
	largeRequestBytes = 64 << 10
	// requestCopies is how many times a member holds a request: as a frame, decoded, and encoded
	// for the disk or for another member.
	requestCopies = 3
	// chainCopies is how many times a member holds a chain that it reads: the record that is read,
	// decoded, and the text.
	chainCopies = 2
)

// memory bounds what requests and responses make a member hold, in bytes. It is safe for concurrent
// use.
type memory struct {
	limit int

	mu       sync.Mutex
	used     int
	rejected int64
}

// appendBytes returns the bound of the records of appends in flight, which are small each.
func appendBytes(memoryMB int) int {
	if memoryMB == 0 {
		return maxAppendBytes
	}
	return min(maxAppendBytes, int(appendShare*float64(memoryMB)*1e6))
}

// newMemory returns the account of a member on a VM with a number of megabytes; 0 means no bound.
func newMemory(memoryMB int) *memory {
	return &memory{limit: int(memoryShare * float64(memoryMB) * 1e6)}
}

// acquire takes bytes within a share of the limit, or reports false. A single request is admitted
// whatever its size.
func (m *memory) acquire(bytes int, share float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit > 0 && m.used > 0 && m.used+bytes > int(share*float64(m.limit)) {
		m.rejected++
		return false
	}
	m.used += bytes
	return true
}

// charge adds bytes that are held already; a negative number gives back.
func (m *memory) charge(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += bytes
}

// state returns the bytes in use and the number of rejected requests.
func (m *memory) state() (used int, rejected int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used, m.rejected
}

// queuedBytes counts the bytes of responses that wait to be written to a connection, and charges
// the member's memory for them.
type queuedBytes struct {
	out    io.Writer
	memory *memory

	mu     sync.Mutex
	bytes  int
	closed bool
}

// add adds the response of an encoded size to the queue; a negative one removes it.
func (q *queuedBytes) add(size int) {
	if size < 0 {
		q.charge(-protowire.SizeBytes(-size))
		return
	}
	q.charge(protowire.SizeBytes(size))
}

func (q *queuedBytes) charge(bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.bytes += bytes
	q.memory.charge(bytes)
}

// close gives back what is not going to be written.
func (q *queuedBytes) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.memory.charge(-q.bytes)
	q.bytes, q.closed = 0, true
}

// hasSpace reports whether a chain of turns may be added. Chains are by far the largest
// responses, and the links of entries are slow.
func (q *queuedBytes) hasSpace() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes < maxQueuedChainBytes
}

// Write writes queued responses to the connection.
func (q *queuedBytes) Write(p []byte) (int, error) {
	n, err := q.out.Write(p)
	q.charge(-n)
	return n, err
}
