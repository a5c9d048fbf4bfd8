package kit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// Event is one event of a stream.
type Event struct{ ID, Data string }

// Answer is what a client got. Err is set if the answer is not complete.
type Answer struct {
	Status    int
	Signature string
	Body      string
	Events    []Event
	Took      time.Duration
	Err       error
}

// Whole reports whether the answer is a complete success.
func (a Answer) Whole() bool {
	return a.Err == nil && a.Status == http.StatusOK && a.Signature != ""
}

// String describes the answer for the record.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, signature %q, %d bytes, %d events, after %d ms, error %v", a.Status, a.Signature, len(a.Body), len(a.Events), a.Took.Milliseconds(), a.Err)
}

// Request is a request of a client.
type Request struct {
	Method, Host, Path, ID, Body string
	Header                       map[string]string
	Deadline                     time.Duration
}

// bytes returns the request as it is sent.
func (r *Request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Path, r.Host, platformtest.RequestID, r.ID, platformtest.Deadline, r.Deadline.Milliseconds())
	for name, value := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.WriteString(r.Body)
	return b.Bytes()
}

// Send sends a request on a connection.
func (d *Deployment) Send(conn net.Conn, r *Request) error {
	d.Record("client sends %s %s %s %v, body: %s", r.ID, r.Method, r.Path, r.Header, brief(r.Body))
	_, err := conn.Write(r.bytes())
	return err
}

// Receive reads the answer to a request and records it.
func (d *Deployment) Receive(conn net.Conn, in *bufio.Reader, r *Request) Answer {
	began := time.Now()
	_ = conn.SetReadDeadline(began.Add(r.Deadline + time.Second))
	a := receive(in)
	a.Took = time.Since(began)
	d.Record("client has for %s: %v", r.ID, a)
	return a
}

func receive(in *bufio.Reader) Answer {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return Answer{Err: err}
	}
	a := Answer{Status: response.StatusCode, Signature: response.Header.Get(platformtest.Signature)}
	body, err := io.ReadAll(response.Body)
	a.Body, a.Err = string(body), err
	for block := range strings.SplitSeq(a.Body, "\n\n") {
		var ev Event
		for line := range strings.SplitSeq(block, "\n") {
			if value, ok := strings.CutPrefix(line, "id: "); ok {
				ev.ID = value
			}
			if value, ok := strings.CutPrefix(line, "data: "); ok {
				ev.Data = value
			}
		}
		if ev.ID != "" && ev.Data != "" {
			a.Events = append(a.Events, ev)
		}
	}
	return a
}

// Do sends a request on a connection of its own.
func (d *Deployment) Do(addr string, r *Request) Answer {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	if err := d.Send(conn, r); err != nil {
		return Answer{Err: err}
	}
	return d.Receive(conn, bufio.NewReader(conn), r)
}

// IsReady asks an entry whether it is ready, as the platform does.
func IsReady(m *Machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
