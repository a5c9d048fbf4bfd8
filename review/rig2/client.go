package rig2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Attempt is one request of a client with its answer.
type Attempt struct {
	ID, Kind, Path, Body, Previous, Program, Node string
	Resumes                                       string
	From                                          int
	Sent, Ended                                   time.Time
	// Status is 0 if no answer has come.
	Status                int
	Signature, Answer     string
	Whole, Opened, Reused bool
	Events                []Event
	Err                   string
	RetryAfter            time.Duration
	AnswerID              string
	Header                http.Header
}

// Event is one event of a stream.
type Event struct {
	ID   int
	Data string
}

// Clients sends requests and keeps what came of them.
type Clients struct {
	Rig      *Rig
	mu       sync.Mutex
	attempts []*Attempt
	idle     map[string][]*clientConn
	seq      atomic.Int64
	// Whole turns by id.
	Turns map[string]*Turn
}

// Turn is a turn that was answered whole.
type Turn struct {
	ID, Previous, Input, Output string
	At                          time.Time
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	last time.Time
}

// NewClients returns clients without requests.
func NewClients(r *Rig) *Clients {
	return &Clients{Rig: r, idle: make(map[string][]*clientConn), Turns: make(map[string]*Turn)}
}

// NewID returns a new id.
func (c *Clients) NewID() string { return fmt.Sprintf("%08x%04x", c.seq.Add(1), rand.IntN(65536)) }

// Attempts returns all requests.
func (c *Clients) Attempts() []*Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Attempt(nil), c.attempts...)
}

func (c *Clients) take(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		list := c.idle[addr]
		if len(list) == 0 {
			return nil
		}
		conn := list[len(list)-1]
		c.idle[addr] = list[:len(list)-1]
		if time.Since(conn.last) < 10*time.Second {
			return conn
		}
		_ = conn.Close()
	}
}

func (c *Clients) keep(addr string, conn *clientConn) {
	conn.last = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[addr] = append(c.idle[addr], conn)
}

// Request describes a request to send.
type Request struct {
	Kind, Path, Body string
	// ID is the request's id; empty for a new one.
	ID       string
	Previous string
	Program  string
	Budget   int
	From     int
	Resumes  string
	Deadline time.Duration
	Fresh    bool
	// GiveUp closes the connection after that time.
	GiveUp time.Duration
	// Chunked sends the body in chunks.
	Chunked bool
	Extra   string
}

// Send sends a request to a node.
func (c *Clients) Send(n *Node, q Request) *Attempt {
	if q.ID == "" {
		q.ID = c.NewID()
	}
	a := &Attempt{ID: q.ID, Kind: q.Kind, Path: q.Path, Body: q.Body, Previous: q.Previous, Program: q.Program, Node: n.Name, From: q.From, Resumes: q.Resumes, Sent: time.Now()}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	c.send(n, q, a)
	a.Ended = time.Now()
	c.Rig.Record.Add("request", "id", a.ID, "kind", a.Kind, "node", a.Node, "previous", a.Previous, "status", a.Status, "whole", a.Whole, "events", len(a.Events), "took", a.Ended.Sub(a.Sent).Milliseconds(), "err", strings.ReplaceAll(a.Err, " ", "_"))
	return a
}

func (c *Clients) send(n *Node, q Request, a *Attempt) {
	addr := n.Front()
	var conn *clientConn
	if !q.Fresh {
		conn = c.take(addr)
	}
	a.Reused = conn != nil
	if conn == nil {
		nc, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			a.Err = err.Error()
			return
		}
		conn = &clientConn{Conn: nc, in: bufio.NewReader(nc)}
	}
	a.Opened = true
	method := "POST"
	if q.Kind == "map" {
		method = "GET"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: %d\r\n", method, q.Path, HeaderID, a.ID, HeaderDeadline, q.Deadline.Milliseconds())
	if q.Program != "" {
		head += fmt.Sprintf("X-Rhubarbsaddle-Program-Id: %s\r\nX-Rhubarbsaddle-Session-Id: s%s\r\nX-Rhubarbsaddle-Program-Deadline-Ms: 8000\r\n", q.Program, q.Program)
	}
	if q.Kind == "haggle" || q.Kind == "draft" {
		head += fmt.Sprintf("X-Rhubarbsaddle-Model: m\r\nX-Rhubarbsaddle-Token-Usage: 1460,220\r\nX-Rhubarbsaddle-Prefix-Hash: 5c1e07a2:800,%s:660\r\nX-Rhubarbsaddle-Token-Budget: %d\r\n", a.ID[4:8], q.Budget)
	}
	if q.Previous != "" {
		head += HeaderPrevious + ": " + q.Previous + "\r\n"
	}
	if q.From > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", q.From, q.Resumes)
	}
	head += q.Extra
	if q.Chunked {
		head += "Transfer-Encoding: chunked\r\n"
		q.Body = chunks(q.Body)
	} else if method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	_ = conn.SetDeadline(time.Now().Add(q.Deadline))
	if q.GiveUp > 0 {
		_ = conn.SetDeadline(time.Now().Add(q.GiveUp))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+q.Body); err != nil {
		a.Err = err.Error()
		_ = conn.Close()
		return
	}
	response, err := http.ReadResponse(conn.in, &http.Request{Method: method})
	if err != nil {
		a.Err = err.Error()
		_ = conn.Close()
		return
	}
	a.Status, a.Signature, a.AnswerID, a.Header = response.StatusCode, response.Header.Get(HeaderSignature), response.Header.Get(HeaderID), response.Header
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = a.readEvents(response.Body)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.Answer = string(body)
	}
	if err != nil {
		a.Err = err.Error()
		_ = conn.Close()
		return
	}
	a.Whole = true
	if response.Close || conn.in.Buffered() > 0 {
		if conn.in.Buffered() > 0 {
			a.Err = "bytes behind the answer"
		}
		_ = conn.Close()
		return
	}
	c.keep(addr, conn)
}

func (a *Attempt) readEvents(body io.Reader) error {
	in := bufio.NewReader(body)
	var ev Event
	open := false
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF {
			if line != "" || open {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && open:
			a.Events = append(a.Events, ev)
			ev, open = Event{}, false
		case strings.HasPrefix(line, "id: "):
			ev.ID, _ = strconv.Atoi(line[4:])
			open = true
		case strings.HasPrefix(line, "data: "):
			ev.Data = line[6:]
			open = true
		}
	}
}

// Output is what the system keeps of a stream.
func (a *Attempt) Output() string {
	var b strings.Builder
	for _, ev := range a.Events {
		b.WriteString(ev.Data + "\n")
	}
	return b.String()
}

// Promised reports whether the answer promises that the request has not run.
func (a *Attempt) Promised() bool {
	return a.Signature == "" && (a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421)
}

// AddTurn keeps a turn that was answered whole.
func (c *Clients) AddTurn(a *Attempt, previous string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Turns[a.ID] = &Turn{ID: a.ID, Previous: previous, Input: a.Body, Output: a.Output(), At: a.Ended}
}

// Prompt is the body that an engine is to receive for a turn.
func (c *Clients) Prompt(previous, input string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := input
	for previous != "" {
		t := c.Turns[previous]
		if t == nil {
			return "", false
		}
		text = t.Input + t.Output + text
		previous = t.Previous
	}
	return text, true
}

// chunks is a body in chunks of 64 KiB.
func chunks(body string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(len(body), 64<<10)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}
