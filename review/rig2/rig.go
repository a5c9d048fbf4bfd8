// Package rig2 runs a small deployment of the project's own programs on loopback addresses, with
// stand-ins of the platform's store, engines and clients, and checks what these see against the
// rules. It belongs to the second review.
package rig2

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// Zones are the zones of the deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Rig is the deployment.
type Rig struct {
	Dir    string
	Store  *platformtest.Store
	Record *Record

	mu       sync.Mutex
	nodes    []*Node
	engines  map[string]*Engine
	versions map[string]string
	ended    []string
	net      int
	version  int
	starts   chan func()
}

// Node is one machine with one process.
type Node struct {
	rig                  *Rig
	Name, Role, Zone, IP string
	MemoryMB             int

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	starts  int
}

// New returns a deployment without nodes.
func New(record string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	r, err := NewRecord(record)
	if err != nil {
		return nil, err
	}
	block, err := freeBlock()
	if err != nil {
		return nil, err
	}
	rig := &Rig{Dir: dir, Store: platformtest.NewStore(), Record: r, engines: make(map[string]*Engine), versions: make(map[string]string), net: block, version: 3, starts: make(chan func())}
	go func() {
		// The processes end with the thread that started them.
		runtime.LockOSThread()
		for start := range rig.starts {
			start()
		}
	}()
	return rig, nil
}

// Ports of all machines.
const (
	frontPort   = 8149
	readyPort   = 8141
	controlPort = 8144
	peerPort    = 7380
	metricsPort = 9464
	// maxNodes is the number of machines for which freeBlock looks for ports.
	maxNodes = 12
)

// freeBlock returns a part of the loopback range whose addresses have the ports of the machines free.
func freeBlock() (int, error) {
	for i := range 200 {
		block := 20 + (os.Getpid()+i)%200
		if isFree(block) {
			return block, nil
		}
	}
	return 0, errors.New("no free loopback addresses")
}

func isFree(block int) bool {
	for n := range maxNodes {
		for _, port := range []int{frontPort, readyPort, controlPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.7.%d:%d", block, n+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// AddNode adds a machine; role is entry or ledger.
func (r *Rig) AddNode(role, zone string) *Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &Node{rig: r, Role: role, Zone: zone, Name: fmt.Sprintf("%s-%s-%d", role, zone, len(r.nodes)), IP: fmt.Sprintf("127.%d.7.%d", r.net, len(r.nodes)+1), MemoryMB: 164}
	if role == "entry" {
		n.MemoryMB = 134
	}
	r.nodes = append(r.nodes, n)
	return n
}

// Front is the address for clients.
func (n *Node) Front() string { return fmt.Sprintf("%s:%d", n.IP, frontPort) }

// Ready is the address of the readiness check.
func (n *Node) Ready() string { return fmt.Sprintf("%s:%d", n.IP, readyPort) }

func (r *Rig) seeds() string {
	var seeds []string
	for _, n := range r.nodes {
		if n.Role == "ledger" && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", n.IP, controlPort))
		}
	}
	text, _ := json.Marshal(seeds)
	return string(text)
}

func (n *Node) dataDir() string { return filepath.Join(n.rig.Dir, n.Name, "data") }

func (n *Node) settings(first bool) string {
	text := fmt.Sprintf("vm: %q\nrole: %s\ndomain: %q\nfirst_start: %v\n", n.Name, n.Role, n.Zone, first)
	if n.Role == "ledger" {
		text += fmt.Sprintf("data: %q\n", n.dataDir())
	}
	front, ready, control := "", "", fmt.Sprintf("%s:%d", n.IP, controlPort)
	if n.Role == "entry" {
		front, ready, control = n.Front(), n.Ready(), ""
	}
	text += fmt.Sprintf("listen:\n  callers: %q\n  ready: %q\n  ledger: %q\n  tunnel: %q\n  metrics: %q\n", front, ready, control, fmt.Sprintf("%s:%d", n.IP, peerPort), fmt.Sprintf("%s:%d", n.IP, metricsPort))
	text += fmt.Sprintf("seeds: %s\nstore: %q\ndisks_lost: 1\nmemory_mb: %d\n", n.rig.seeds(), n.rig.Store.Addr(), n.MemoryMB)
	if n.Role == "entry" {
		text += "descriptors: 4100\n"
	}
	return text + "bounds:\n  grace_s: 8\nlog:\n  level: info\n"
}

// Start starts the process. First means that the whole system starts for the first time.
func (n *Node) Start(first bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	dir := filepath.Join(n.rig.Dir, n.Name)
	if err := os.MkdirAll(n.dataDir(), 0o700); err != nil {
		return err
	}
	file := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(file, []byte(n.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/rhubarbsaddled", n.Role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "RHUBARBSADDLE_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	n.rig.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	n.cmd, n.done, n.stopped = cmd, make(chan struct{}), false
	n.starts++
	n.rig.Record.Add("start", "node", n.Name, "pid", cmd.Process.Pid)
	go func(done chan struct{}) {
		err := cmd.Wait()
		n.mu.Lock()
		unasked := !n.stopped
		n.mu.Unlock()
		n.rig.Record.Add("ended", "node", n.Name, "unasked", unasked, "error", fmt.Sprint(err))
		if unasked {
			n.rig.mu.Lock()
			n.rig.ended = append(n.rig.ended, n.Name+": "+fmt.Sprint(err))
			n.rig.mu.Unlock()
		}
		close(done)
	}(n.done)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		n.stopped = true
	}
	n.rig.Record.Add("signal", "node", n.Name, "signal", sig.String())
	_ = n.cmd.Process.Signal(sig)
}

// PID is the id of the process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// Wait waits for the end of the process, and reports whether it has ended.
func (n *Node) Wait(limit time.Duration) bool {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.Wait(5 * time.Second)
}

// Terminate sends SIGTERM, and SIGKILL after the grace period of 8 s.
func (n *Node) Terminate() {
	n.Signal(syscall.SIGTERM)
	if !n.Wait(8 * time.Second) {
		n.Kill()
	}
}

// Wipe removes the data of a process that has ended.
func (n *Node) Wipe() error { return os.RemoveAll(n.dataDir()) }

// Log returns the path of the process's log.
func (n *Node) Log() string { return filepath.Join(n.rig.Dir, n.Name, "log") }

// Engines returns the running engines by id.
func (r *Rig) Engines() map[string]*Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.engines)
}

// EngineLoad returns the share of all engines' slots that are taken.
func (r *Rig) EngineLoad() float64 {
	running, slots := 0.0, 0.0
	for _, e := range r.Engines() {
		running += float64(e.running.Load())
		slots += float64(e.Slots)
	}
	return running / max(slots, 1)
}

// Ended returns the processes that ended by themselves.
func (r *Rig) Ended() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ended...)
}

// Nodes returns the nodes of a role.
func (r *Rig) Nodes(role string) []*Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*Node
	for _, n := range r.nodes {
		if n.Role == role {
			list = append(list, n)
		}
	}
	return list
}

// StartAll starts all nodes for the first time and waits until the entries are ready.
func (r *Rig) StartAll() error {
	for _, n := range append(r.Nodes("ledger"), r.Nodes("entry")...) {
		if err := n.Start(true); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, n := range r.Nodes("entry") {
		for !IsReady(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// IsReady asks the node as the platform does.
func IsReady(n *Node) bool {
	conn, err := net.DialTimeout("tcp", n.Ready(), 500*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	b := make([]byte, 15)
	n2, _ := conn.Read(b)
	return strings.HasPrefix(string(b[:n2]), "HTTP/1.1 200")
}

// Close ends everything.
func (r *Rig) Close() {
	for _, n := range append(r.Nodes("ledger"), r.Nodes("entry")...) {
		n.Signal(syscall.SIGCONT)
		n.Kill()
	}
	r.mu.Lock()
	engines := r.engines
	r.engines = map[string]*Engine{}
	r.mu.Unlock()
	for _, e := range engines {
		e.Stop()
	}
	r.Store.Close()
	r.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.Dir)
	}
}

// Config writes the operator's configuration.
func (r *Rig) Config(routes string) {
	r.mu.Lock()
	r.version += 2
	version := r.version
	r.mu.Unlock()
	r.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"llm","health_path":"/healthz","engine":{"slots":12,"kv_capacity":378489,"chunk_tokens":22}},{"name":"app","health_path":"/healthz"}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, routes))
}

// Routes are those of the first deployments.
const Routes = `{"name":"haggle","host":"a.example","prefix":"/haggle/","type":"streaming","timeout_ms":4000,"latency_target_ms":200,"priority":0,"service":"llm","max_attempts":2,"retained":true,"retention_s":60,"sticky":true,"resumable":false,"gap_target_ms":400},` +
	`{"name":"draft","host":"a.example","prefix":"/draft/","type":"streaming","timeout_ms":4000,"latency_target_ms":200,"priority":1,"service":"llm","max_attempts":2,"retained":false,"retention_s":60,"sticky":true,"resumable":true,"gap_target_ms":400},` +
	`{"name":"map","host":"a.example","prefix":"/map/","type":"idempotent","timeout_ms":1200,"latency_target_ms":150,"priority":2,"service":"app","max_attempts":3},` +
	`{"name":"card","host":"a.example","prefix":"/card/","type":"non_idempotent","timeout_ms":2000,"latency_target_ms":300,"priority":2,"service":"app","max_attempts":2}`
