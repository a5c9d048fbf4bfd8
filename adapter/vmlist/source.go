package vmlist

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// maxListBytes bounds the size of the list.
	maxListBytes = 32 << 20
	// readTimeout bounds one fetch over HTTP.
	readTimeout = 5 * time.Second
)

// errTooLong is the cause when a list exceeds maxListBytes.
var errTooLong = errors.New("the list exceeds the size limit")

// File is a Source that reads the list from a file.
type File struct{ Path string }

// Read reads and parses the file.
func (f File) Read(context.Context) ([]core.VMInfo, error) {
	data, err := os.ReadFile(f.Path)
	if err != nil {
		return nil, &Error{Step: StepRead, Peer: f.Path, Index: -1, Err: err}
	}
	return parseFrom(f.Path, data)
}

// HTTP is a Source that fetches the list with a GET request.
type HTTP struct {
	URL string
	// Client performs the requests; nil means http.DefaultClient.
	Client *http.Client
}

// Read fetches and parses the list.
func (h HTTP) Read(ctx context.Context) ([]core.VMInfo, error) {
	data, err := h.get(ctx)
	if err != nil {
		return nil, &Error{Step: StepRead, Peer: h.URL, Index: -1, Err: err}
	}
	return parseFrom(h.URL, data)
}

// get returns the body of the response, or an error for any status but 200.
func (h HTTP) get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.URL, nil)
	if err != nil {
		return nil, err
	}
	client := h.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		client.CloseIdleConnections()
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err == nil && len(data) > maxListBytes {
		err = errTooLong
	}
	return data, err
}

// parseFrom parses a list and adds its source to the error.
func parseFrom(peer string, data []byte) ([]core.VMInfo, error) {
	vms, err := Parse(data)
	var e *Error
	if errors.As(err, &e) {
		e.Peer = peer
	}
	return vms, err
}
