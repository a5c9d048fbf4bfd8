// Package rig3 runs the daemons of the deploy file as separate processes on loopback addresses,
// beside stand-ins of the platform's store, of engines and of clients. It is for the cases of the
// third review only.
package rig3

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/platformtest"
)

// Ports of the machines, each of which has an address of its own.
const (
	frontPort   = 18149
	readyPort   = 18141
	controlPort = 18144
	peerPort    = 18380
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Host is the host of all routes.
const Host = "ficu95.example"

// Rig is a small deployment.
type Rig struct {
	Store *platformtest.Store
	Dir   string

	network   int
	storeAddr string
	mu        sync.Mutex
	record    *os.File
	began     time.Time
	machines  []*Machine
	engines   []*Engine
}

// New starts the store. The record of the case is written to recordPath.
func New(recordPath string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &Rig{Store: platformtest.NewStore(), Dir: dir, record: record, began: time.Now()}
	r.network = r.freeNetwork()
	r.storeAddr = r.Store.Addr()
	return r, nil
}

// freeNetwork returns a number n such that nothing listens at the ports of 127.n.0.1 to 127.n.0.9.
func (r *Rig) freeNetwork() int {
	for range 100 {
		n := 20 + rand.IntN(200)
		if r.isFree(n) {
			return n
		}
	}
	return 19
}

func (r *Rig) isFree(network int) bool {
	for host := 1; host < 10; host++ {
		for _, port := range []int{frontPort, readyPort, controlPort, peerPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Note writes a line to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and stand-ins.
func (r *Rig) Close() {
	for _, m := range r.machines {
		m.Kill()
	}
	for _, e := range r.engines {
		e.Close()
	}
	r.Store.Close()
	_ = r.record.Close()
	_ = os.RemoveAll(r.Dir)
}

// Machine is a machine with one process of the deploy file.
type Machine struct {
	Name, Role, IP, Zone string
	rig                  *Rig
	cmd                  *exec.Cmd
	done                 chan struct{}
	log                  *os.File
}

// Front is the address at which an entry serves clients.
func (m *Machine) Front() string { return fmt.Sprintf("%s:%d", m.IP, frontPort) }

// Data is the folder of the machine's disk.
func (m *Machine) Data() string { return filepath.Join(m.rig.Dir, m.Name+".data") }

// LogPath is the file with what the process writes.
func (m *Machine) LogPath() string { return filepath.Join(m.rig.Dir, m.Name+".log") }

// Add adds a machine that is not started.
func (r *Rig) Add(role, zone string) *Machine {
	n := len(r.machines) + 1
	m := &Machine{Name: fmt.Sprintf("%s-%d", role, n), Role: role, Zone: zone, IP: fmt.Sprintf("127.%d.0.%d", r.network, n), rig: r}
	r.machines = append(r.machines, m)
	return m
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings fills in a template as the platform does.
func (m *Machine) settings(bootstrap bool) (string, error) {
	template := "deploy/entry.yaml.tmpl"
	memory, descriptors := 134, 4100
	if m.Role == "ledger" {
		template, memory, descriptors = "deploy/settings.yaml.tmpl", 164, 8200
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, other := range m.rig.machines {
		if other.Role == "ledger" && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", other.IP, controlPort))
		}
	}
	values := map[string]any{
		"node_name": m.Name, "role": m.Role, "zone": m.Zone, "bootstrap": bootstrap, "data_dir": m.Data(), "ip": m.IP,
		"listen.front": m.Front(), "listen.ready": fmt.Sprintf("%s:%d", m.IP, readyPort), "listen.control": fmt.Sprintf("%s:%d", m.IP, controlPort),
		"port_range.0": peerPort, "seeds": seeds, "platform.address": m.rig.storeAddr, "fault_tolerance.machines": 1,
		"limits.memory_mb": memory, "limits.max_fds": descriptors, "bounds.grace_s": 8,
	}
	var missing error
	filled := placeholder.ReplaceAllStringFunc(string(text), func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value, ok := values[parts[1]]
		if !ok {
			missing = errors.New("no value for " + parts[1])
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		missing = errors.Join(missing, err)
		return string(encoded)
	})
	return filled, missing
}

// Start starts the process with the command of the deploy file.
func (m *Machine) Start(bootstrap bool) error {
	text, err := m.settings(bootstrap)
	if err != nil {
		return err
	}
	path := filepath.Join(m.rig.Dir, m.Name+".yaml")
	if err := errors.Join(os.WriteFile(path, []byte(text), 0o600), os.MkdirAll(m.Data(), 0o700)); err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(m.LogPath()); err != nil {
			return err
		}
	}
	m.cmd = exec.Command(program(), m.Role)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBSADDLE_CONFIG=" + path}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.done = done
	cmd := m.cmd
	go func() {
		err := cmd.Wait()
		m.rig.Note("%s ends: %v", m.Name, err)
		close(done)
	}()
	m.rig.Note("%s starts, bootstrap %v", m.Name, bootstrap)
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) {
	if m.cmd != nil && m.cmd.Process != nil {
		m.rig.Note("%s gets signal %v", m.Name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// Pid is the id of the process.
func (m *Machine) Pid() int { return m.cmd.Process.Pid }

// HasEnded reports whether the process has ended.
func (m *Machine) HasEnded() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (m *Machine) Kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.done
}

// Wipe empties the machine's disk.
func (m *Machine) Wipe() error {
	m.rig.Note("%s loses its disk", m.Name)
	return errors.Join(os.RemoveAll(m.Data()), os.MkdirAll(m.Data(), 0o700))
}

// IsReady reports whether the machine counts as ready.
func (m *Machine) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.IP, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Await waits until a condition holds.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Itoa is strconv.Itoa.
func Itoa(n int) string { return strconv.Itoa(n) }

// StartAll starts machines for the first time and waits until the entries are ready.
func (r *Rig) StartAll() error {
	for _, m := range r.machines {
		if err := m.Start(true); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if m.Role == "entry" && !Await(20*time.Second, m.IsReady) {
			return fmt.Errorf("%s did not become ready", m.Name)
		}
	}
	return nil
}

// Join joins lines.
func Join(lines []string) string { return strings.Join(lines, ", ") }

// Machines returns the machines in the order in which they were added.
func (r *Rig) Machines() []*Machine { return r.machines }

// program is the program of the deploy file, or another build of it for trials.
func program() string {
	if path := os.Getenv("REVIEW_PROGRAM"); path != "" {
		return path
	}
	return "target/rhubarbsaddled"
}

// Proxy passes connections on to the store. While it is on, it loses or delays writes as the
// platform may.
type Proxy struct {
	listener net.Listener
	target   string
	// Lost is how many of a hundred writes are done and not answered, Late how many are done 1 to
	// 6 s later and not answered.
	Lost, Late atomic.Int64
}

// NewProxy starts a proxy of the store, which the processes use from now on.
func (r *Rig) NewProxy() (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: r.Store.Addr()}
	r.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, p) }()
	return p, nil
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	isWrite := req.URL.Path == "/kv-txn"
	if isWrite && rand.Int64N(100) < p.Late.Load() {
		time.AfterFunc(time.Second+rand.N(5*time.Second), func() { _, _ = p.forward(context.Background(), req, body) })
		panic(http.ErrAbortHandler)
	}
	response, err := p.forward(req.Context(), req, body)
	if err != nil || isWrite && rand.Int64N(100) < p.Lost.Load() {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

func (p *Proxy) forward(ctx context.Context, req *http.Request, body []byte) (*http.Response, error) {
	again, err := http.NewRequestWithContext(ctx, req.Method, "http://"+p.target+req.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	again.Header = req.Header.Clone()
	return http.DefaultClient.Do(again)
}
