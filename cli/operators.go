package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

// operatorTimeout bounds a request to an operators' port.
const operatorTimeout = 5 * time.Second

// maxStatusBytes bounds the response of an operators' port.
const maxStatusBytes = 64 << 20

// OperatorError is a failed request to an operators' port.
type OperatorError struct {
	Step string
	// Addr is the address of the port.
	Addr string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *OperatorError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *OperatorError) Unwrap() error { return e.Err }

// nodeFlag returns the flag that names the operators' ports to connect to.
func nodeFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:     "node",
		Usage:    "address of an operators' port, `IP:PORT`; may be repeated",
		Sources:  cli.EnvVars("RHUBARBSADDLE_NODES"),
		Required: true,
	}
}

// operatorCall sends a request to an operators' port. Unless out is nil, it decodes
// the response into out.
func operatorCall(ctx context.Context, cmd *cli.Command, step, method, addr, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	client, scheme, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+addr+path, nil)
	if err != nil {
		return &OperatorError{Step: step, Addr: addr, Err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return &OperatorError{Step: step, Addr: addr, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return &OperatorError{Step: step, Addr: addr, Err: fmt.Errorf("status %s", resp.Status)}
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(out); err != nil {
		return &OperatorError{Step: step, Addr: addr, Err: err}
	}
	return nil
}
