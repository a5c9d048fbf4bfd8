// Package ports reserves ports of the loopback interface for processes that choose none
// themselves.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
)

const (
	// firstPort and lastPort bound the reserved ports. The range is below the system's
	// ephemeral ports, which outgoing connections and listeners without a given port get.
	firstPort, lastPort = 12000, 30000
	// attempts bounds the number of ports that are tried.
	attempts = 100
)

var address = [4]byte{127, 0, 0, 1}

// Port is a reserved port. Any process can listen on it, again and again, but nobody else can
// reserve it until Close.
type Port struct {
	fd     int
	number int
}

// Reserve reserves a free port.
func Reserve() (*Port, error) {
	for range attempts {
		p, err := reserve(firstPort + rand.IntN(lastPort-firstPort))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return p, err
		}
	}
	return nil, syscall.EADDRINUSE
}

// reserve binds a socket to the port and never listens on it. Without SO_REUSEADDR, it can only
// be bound to a port that no other socket is bound to; with it, listeners that have the option
// too, as those of package net, can be bound to the same port.
func reserve(number int) (*Port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	p := &Port{fd: fd, number: number}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: number, Addr: address}); err != nil {
		return nil, errors.Join(os.NewSyscallError("bind", err), p.Close())
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, errors.Join(os.NewSyscallError("setsockopt", err), p.Close())
	}
	return p, nil
}

// Addr returns the host:port.
func (p *Port) Addr() string { return fmt.Sprintf("127.0.0.1:%d", p.number) }

// Close ends the reservation.
func (p *Port) Close() error { return os.NewSyscallError("close", syscall.Close(p.fd)) }
