package resident

import (
	"syscall"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/relay"
	"github.com/rhubarbsaddle/rhubarbsaddle/resource"
)

const (
	// callerMemoryShare is the share of the VM's memory that callers may make the process hold.
	// The rest is for the program itself, garbage and kernel buffers.
	callerMemoryShare = 0.3
	// chainMemoryShare is the share of the VM's memory that one chain of turns may have.
	chainMemoryShare = 0.07
	// fileDescriptors is how many of a VM's descriptors are not for sockets.
	fileDescriptors = 200
	// ownShare is the share of the sockets, and minOwnSockets the number, that the process keeps
	// for ledger members, the store, tunnels and its other listeners. TunnelShare is the tunnels'
	// share of these, each of which takes two, and lingerShare that of dropped connections that
	// linger.
	ownShare      = 0.2
	minOwnSockets = 48
	tunnelShare   = 0.25
	lingerShare   = 0.25
	// minCallerSockets is the number of sockets that callers have in any case.
	minCallerSockets = 48
	// pooledShare is the share of the remaining sockets that idle connections to targets may take.
	pooledShare = 0.2
	// operatorConnections bounds the connections to the address of the readiness checks, and to
	// that of the metrics.
	operatorConnections = 8
	// callerReceiveBytes is the size of the kernel's receive buffer of a caller's connection.
	callerReceiveBytes = 32 << 10
)

// socketLimits is how an entry divides its sockets. Zero means no bound.
type socketLimits struct {
	// callers are the sockets of callers' connections and of the requests in flight.
	callers int
	// pooled are idle connections to targets.
	pooled int
	// tunnels are tunneled connections of other entries.
	tunnels int
	// lingers are callers' connections that were dropped and linger.
	lingers int
}

// divideSockets divides the descriptors that the settings and the operating system allow.
func divideSockets(s *config.Resident, openFiles int) socketLimits {
	sockets := openFiles
	if s.Descriptors > 0 && (sockets == 0 || s.Descriptors-fileDescriptors < sockets) {
		sockets = s.Descriptors - fileDescriptors
	}
	if sockets <= 0 {
		return socketLimits{}
	}
	own := max(minOwnSockets, int(ownShare*float64(sockets)))
	rest := max(sockets-own, minCallerSockets)
	pooled := int(pooledShare * float64(rest))
	return socketLimits{callers: rest - pooled, pooled: pooled, tunnels: int(tunnelShare*float64(own)) / 2, lingers: int(lingerShare * float64(own))}
}

// openFileLimit returns the number of descriptors that the process may open; 0 if it is not known.
func openFileLimit() int {
	const unlimited = 1 << 20
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, unlimited))
}

// callerLimits returns what callers may make an entry hold.
func callerLimits(s *config.Resident, sockets socketLimits) resource.Limits {
	return resource.Limits{Bytes: int64(callerMemoryShare * float64(s.MemoryMB) * 1e6), Descriptors: sockets.callers}
}

// maxChainBytes returns the size of the longest chain of turns that an entry continues. One of that
// size has to fit beside other requests.
func maxChainBytes(s *config.Resident) int {
	if s.MemoryMB == 0 {
		return relay.DefaultMaxChainBytes
	}
	return min(relay.DefaultMaxChainBytes, int(chainMemoryShare*float64(s.MemoryMB)*1e6))
}
