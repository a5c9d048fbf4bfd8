package local

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/goccy/go-yaml"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// process is a daemon that runs in its own process.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// startProcess writes the settings and starts the binary's subcommand for the
// role.
func (v *VM) startProcess() (daemon, error) {
	if err := v.choosePorts(); err != nil {
		return nil, err
	}
	text, err := yaml.Marshal(v.settings)
	if err != nil {
		return nil, err
	}
	base := filepath.Join(v.deployment.options.ProcessDir, v.settings.VM)
	if err := os.WriteFile(base+".yaml", text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{log: log, done: make(chan struct{})}
	p.cmd = exec.Command(v.deployment.options.Binary, v.settings.Role, "--settings", base+".yaml")
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
	return p, nil
}

// choosePorts replaces listening addresses that have no port with addresses
// that have a free port.
func (v *VM) choosePorts() error {
	addrs := []*string{&v.settings.Listen.Peers, &v.settings.Listen.Operators}
	if v.role == core.RoleEntry {
		addrs = append(addrs, &v.settings.Listen.Callers)
	}
	for _, addr := range addrs {
		if *addr != loopback {
			continue
		}
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*addr = free
	}
	return nil
}

const (
	// firstPort and lastPort bound the ports of processes. The range is below the
	// system's ephemeral ports: an outgoing connection, or a listener without a
	// given port, could otherwise take the chosen port before the process starts.
	firstPort, lastPort = 12000, 30000
	// portAttempts bounds the number of ports that are tried.
	portAttempts = 100
)

// errNoPort is the cause when no port is free.
var errNoPort = errors.New("no free port was found")

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	for range portAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			// The port is in use.
			continue
		}
		return addr, l.Close()
	}
	return "", errNoPort
}

// Close kills the process.
func (p *process) Close() {
	// Kill fails only if the process has already exited.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Drain requests a graceful shutdown and waits until the process exits. It kills
// the process when ctx ends.
func (p *process) Drain(ctx context.Context) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		p.Close()
		return ctx.Err()
	}
}

// PID returns the process ID of a daemon that runs in its own process, else zero.
func (v *VM) PID() int {
	if p, ok := v.currentDaemon().(*process); ok {
		return p.cmd.Process.Pid
	}
	return 0
}
