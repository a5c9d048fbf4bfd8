package rig3

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Request is one client attempt.
type Request struct {
	Method, Path, ID string
	Body             []byte
	Wait             time.Duration
	Header           map[string]string
}

// Answer is what the client sees of it. Err is set if there is no whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// String returns a short form of the answer.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("status %d, %d bytes, %v", a.Status, len(a.Body), a.Err)
	}
	text := string(a.Body)
	if len(text) > 60 {
		text = text[:60]
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes %q", a.Status, a.Header.Get(Signature), len(a.Body), text)
}

// Do sends a request on a connection of its own.
func Do(front string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Wait)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+front+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = Host
	req.Header.Set(RequestID, q.ID)
	req.Header.Set(Deadline, strconv.FormatInt(q.Wait.Milliseconds(), 10))
	for name, value := range q.Header {
		req.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Err: errors.Join(err, response.Body.Close())}
}
