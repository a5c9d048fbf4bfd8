// Package kit runs the project's programs as separate processes on loopback addresses, with
// stand-ins of the users' platform, for the scripts of the review.
package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

const (
	// program is the program that the deploy file builds.
	program = "target/rhubarbsaddled"
	// template is the settings template that the deploy file names.
	template = "deploy/settings.yaml.tmpl"
	// heartbeat is the platform's heartbeat_ms: how often a target writes its entry.
	heartbeat = 1200 * time.Millisecond
	// Deadline and bounds of the small deployments, as the settings hold them.
	graceS    = 8
	disksLost = 1
)

// Domains are the zones of the deployment.
var Domains = []string{"milano-a", "milano-b", "torino-c"}

// Deployment is a running deployment.
type Deployment struct {
	// Root is the repository's root, Dir a temporary folder.
	Root, Dir string
	Store     *platformtest.Store

	mu       sync.Mutex
	record   *os.File
	began    time.Time
	machines []*Machine
	engines  []*Engine
	nextIP   int
	subnet   int
	stop     chan struct{}
	closing  sync.Once
	front    *StoreFront
}

// New starts the platform's stand-ins. Record is the path of the record that the deployment
// writes.
func New(record string) (*Deployment, error) {
	root, err := findRoot()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &Deployment{
		Root: root, Dir: dir, Store: platformtest.NewStore(), record: file, began: time.Now(),
		subnet: 1 + os.Getpid()%250, stop: make(chan struct{}),
	}, nil
}

// findRoot returns the closest folder upwards that has the deploy file.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no deploy/system.toml in this folder or above it")
		}
		dir = parent
	}
}

// Record writes one line to the record.
func (d *Deployment) Record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A failure to write shows as a record that ends early.
	_, _ = fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and removes the temporary folder.
func (d *Deployment) Close() { d.closing.Do(d.close) }

func (d *Deployment) close() {
	close(d.stop)
	for _, m := range d.machines {
		m.Signal(syscall.SIGKILL)
		m.Wait()
	}
	for _, e := range d.engines {
		e.close()
	}
	if d.front != nil {
		_ = d.front.server.Close()
	}
	d.Store.Close()
	// What is left of the temporary folder does not matter.
	_ = os.RemoveAll(d.Dir)
	_ = d.record.Close()
}

// newIP returns a loopback address that no other machine of the deployment has.
func (d *Deployment) newIP() string {
	d.nextIP++
	return fmt.Sprintf("127.%d.%d.%d", 20+d.subnet/200, d.subnet, 10+d.nextIP)
}

// storeAddr returns the address of the store for the settings.
func (d *Deployment) storeAddr() string {
	if d.front != nil {
		return d.front.addr
	}
	return d.Store.Addr()
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// Machine is one machine of the system with its process.
type Machine struct {
	Name, IP, Data string
	// Front is the address for clients, Ready that of the readiness checks, Control that of the
	// ledger.
	Front, Ready, Control string

	d      *Deployment
	role   string
	domain string
	tunnel int
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
}

// Add prepares a machine for a role, entry or ledger, in a failure domain. It is started by Start.
func (d *Deployment) Add(role, domain string) (*Machine, error) {
	m := &Machine{d: d, role: role, domain: domain, IP: d.newIP(), Name: fmt.Sprintf("%s-%s-%d", role, domain, len(d.machines)+1)}
	ports := make([]int, 4)
	for i := range ports {
		port, err := freePort(m.IP)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	m.Front, m.Ready, m.Control = fmt.Sprint(m.IP, ":", ports[0]), fmt.Sprint(m.IP, ":", ports[1]), fmt.Sprint(m.IP, ":", ports[2])
	m.tunnel = ports[3]
	if role == "ledger" {
		m.Data = filepath.Join(d.Dir, "data", m.Name)
		if err := os.MkdirAll(m.Data, 0o750); err != nil {
			return nil, err
		}
	}
	d.machines = append(d.machines, m)
	return m, nil
}

// Start starts the process with settings made from the project's template. First means that the
// whole system starts for the first time.
func (m *Machine) Start(first bool) error {
	settings, err := m.settings(first)
	if err != nil {
		return err
	}
	path := filepath.Join(m.d.Dir, m.Name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.d.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(m.d.Root, program), m.role)
	cmd.Dir = m.d.Root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBSADDLE_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.d.Record("%s starts, first=%t", m.Name, first)
	go func() {
		err := cmd.Wait()
		m.d.Record("%s has ended: %v", m.Name, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	// A process that has ended needs no signal.
	_ = m.cmd.Process.Signal(sig)
}

// Wait waits until the process has ended.
func (m *Machine) Wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Wipe removes what is on the machine's disk.
func (m *Machine) Wipe() error {
	if err := os.RemoveAll(m.Data); err != nil {
		return err
	}
	m.d.Record("%s has lost its disk", m.Name)
	return os.MkdirAll(m.Data, 0o750)
}

// Log returns what the process has written.
func (m *Machine) Log() string {
	text, _ := os.ReadFile(filepath.Join(m.d.Dir, m.Name+".log"))
	return string(text)
}

// settings fills in the project's template as the platform does.
func (m *Machine) settings(first bool) (string, error) {
	text, err := os.ReadFile(filepath.Join(m.d.Root, template))
	if err != nil {
		return "", err
	}
	seeds := []string{}
	for _, other := range m.d.machines {
		if other.role == "ledger" && len(seeds) < 3 {
			seeds = append(seeds, other.Control)
		}
	}
	front, ready, control := m.Front, m.Ready, ""
	if m.role == "ledger" {
		front, ready, control = "", "", m.Control
	}
	values := map[string]any{
		"node_name": m.Name, "role": m.role, "zone": m.domain, "bootstrap": first, "data_dir": m.Data,
		"listen.front": front, "listen.ready": ready, "listen.control": control,
		"ip": m.IP, "port_range.0": m.tunnel, "seeds": seeds, "platform.address": m.d.storeAddr(),
		"fault_tolerance.machines": disksLost, "limits.memory_mb": 164, "bounds.grace_s": graceS,
	}
	filled := string(text)
	for name, value := range values {
		encoded, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		filled = strings.ReplaceAll(filled, "{{"+name+"|json}}", string(encoded))
		filled = strings.ReplaceAll(filled, "{{"+name+"}}", fmt.Sprint(value))
	}
	if strings.Contains(filled, "{{") {
		return "", fmt.Errorf("the template has fields that the stand-in does not know:\n%s", filled)
	}
	return filled, nil
}

// Await waits until a condition holds.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
