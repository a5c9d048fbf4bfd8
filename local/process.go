package local

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/goccy/go-yaml"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/ports"
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
// whose ports are reserved for the VM.
func (v *VM) choosePorts() error {
	addrs := []*string{&v.settings.Listen.Peers, &v.settings.Listen.Operators}
	if v.role == core.RoleEntry {
		addrs = append(addrs, &v.settings.Listen.Callers)
	}
	for _, addr := range addrs {
		if *addr != loopback {
			continue
		}
		port, err := ports.Reserve()
		if err != nil {
			return err
		}
		v.reserved = append(v.reserved, port)
		*addr = port.Addr()
	}
	return nil
}

// releasePorts ends the reservations of the VM's ports.
func (v *VM) releasePorts() {
	for _, port := range v.reserved {
		// Closing a socket that was never connected can't fail in a way that matters.
		_ = port.Close()
	}
	v.reserved = nil
}

// exitError returns an error if the VM's daemon runs in its own process and that has exited.
func (v *VM) exitError() error {
	p, ok := v.currentDaemon().(*process)
	if !ok {
		return nil
	}
	select {
	case <-p.done:
	default:
		return nil
	}
	text, err := os.ReadFile(p.log.Name())
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return errors.Join(fmt.Errorf("the process of %s has exited (%s): %s", v.Name(), p.cmd.ProcessState, lines[len(lines)-1]), err)
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
