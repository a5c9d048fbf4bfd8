package main_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/procfs"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

// The tests of this package run the daemons as separate processes, built without the race
// detector, and measure what those processes hold. They check nothing that depends on the speed
// of the machine: timeouts only end a test that hangs.

const (
	host         = "ficu95.example"
	turnPath     = "/pufi791/4b"
	plainPath    = "/puxa403/2f"
	unknownPath  = "/nowhere/1a"
	turnService  = "huvo11a"
	plainService = "wuno96b"

	// hangTimeout ends a wait for something that does not depend on the speed of the machine.
	hangTimeout = 30 * time.Second
	// requestDeadline is what callers give as their deadline.
	requestDeadline = 3 * time.Second
	// ordinaryDeadline is the deadline of ordinary callers, and retryPause the time until they try
	// again after a refusal.
	ordinaryDeadline = 4 * time.Second
	retryPause       = 250 * time.Millisecond
	// samplePeriod is the time between two measurements of a process.
	samplePeriod = 10 * time.Millisecond
	mib          = 1 << 20
)

const (
	// wrapperScript starts the daemon with the descriptors that the test allows, and leaves the
	// id of its process.
	wrapperScript = `#!/bin/sh
echo $$ > "$RHUBARBSADDLE_CONFIG.pid"
if [ -f "$RHUBARBSADDLE_CONFIG.descriptors" ]; then ulimit -n "$(cat "$RHUBARBSADDLE_CONFIG.descriptors")"; fi
exec "$0.bin" "$@"
`
	programPath  = "target/rhubarbsaddled"
	templatePath = "deploy/settings.yaml.tmpl"
)

// root is a folder with the program, built once for all tests, where kit expects it.
var root = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "rhubarbsaddled")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, programPath)
	out, err := exec.Command("go", "build", "-o", path+".bin", ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, errors.Join(os.WriteFile(path, []byte(wrapperScript), 0o700), os.MkdirAll(filepath.Join(dir, "deploy"), 0o700))
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := root(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// machine is a machine with the limits of the test.
type machine struct {
	*kit.Machine
	limits
	// config is the path of the settings, and template that of the template they are made from.
	config, template string
}

// start starts the process and waits until its id is known. First means that the whole system
// starts for the first time.
func (m *machine) start(t *testing.T, first bool) {
	t.Helper()
	if err := os.Remove(m.config + ".pid"); err != nil {
		require.ErrorIs(t, err, os.ErrNotExist)
	}
	dir, err := root()
	require.NoError(t, err)
	template, err := os.ReadFile(m.template)
	require.NoError(t, err)
	text := strings.ReplaceAll(string(template), "{{limits.memory_mb|json}}", strconv.Itoa(m.memoryMB))
	text = strings.ReplaceAll(text, "{{limits.max_fds|json}}", strconv.Itoa(m.descriptors))
	require.NoError(t, os.WriteFile(filepath.Join(dir, templatePath), []byte(text), 0o600))
	if m.descriptors > 0 {
		require.NoError(t, os.WriteFile(m.config+".descriptors", []byte(strconv.Itoa(m.descriptors)), 0o600))
	}
	require.NoError(t, m.Start(first))
	require.True(t, kit.Await(hangTimeout, func() bool { return m.pid() > 0 }))
}

// pid returns the id of the process; 0 if it is not known yet.
func (m *machine) pid() int {
	text, err := os.ReadFile(m.config + ".pid")
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return pid
}

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	proc, err := procfs.NewProc(m.pid())
	if err != nil {
		return true
	}
	stat, err := proc.Stat()
	return err != nil || stat.State == "Z"
}

// limits are the limits of the machines of a test.
type limits struct {
	memoryMB, descriptors int
	bodyBytes             int
}

// system is an entry with three ledger members, a target of each service and the platform's
// stand-ins.
type system struct {
	*kit.Deployment
	entry   *machine
	members []*machine
	// release is closed when the target answers the requests of hangingPath.
	release chan struct{}
	// hangs counts the requests of hangingPath.
	hangs  atomic.Int64
	nextID atomic.Int64
}

const (
	// hangingPath is a path of the plain service whose requests are answered when the test ends,
	// and largePath one with answers of largeAnswerBytes, almost as large as they may be.
	hangingPath      = "/puxa403/hang"
	largePath        = "/puxa403/large"
	largeAnswerBytes = 2*mib - 1
)

// newSystem starts the processes with the limits.
func newSystem(t *testing.T, l limits) *system {
	t.Helper()
	dir, err := root()
	require.NoError(t, err)
	d, err := kit.New(filepath.Join(t.TempDir(), "record.txt"))
	require.NoError(t, err)
	d.Root = dir
	s := &system{Deployment: d, release: make(chan struct{})}
	t.Cleanup(d.Close)
	t.Cleanup(func() { s.logFailure(t) })
	t.Cleanup(func() { close(s.release) })
	_, err = d.AddEngine("i-plain", plainService, kit.Domains[0], 1000, s.answerPlain)
	require.NoError(t, err)
	_, err = d.AddEngine("i-turns", turnService, kit.Domains[0], 1000, s.answerTurn)
	require.NoError(t, err)
	s.putConfig(7, l.bodyBytes)
	for _, domain := range kit.Domains {
		s.members = append(s.members, s.add(t, "ledger", domain, l))
	}
	s.entry = s.add(t, "entry", kit.Domains[0], l)
	for _, m := range append(s.members[:len(s.members):len(s.members)], s.entry) {
		m.start(t, true)
	}
	require.True(t, kit.Await(hangTimeout, func() bool { return kit.IsReady(s.entry.Machine) }), "the entry did not become ready")
	require.True(t, kit.Await(hangTimeout, func() bool { return s.ordinary("warm-up") == nil && s.ordinaryTurn("warm-up") == nil }), "the targets did not become known")
	return s
}

// putConfig writes a version of the configuration.
func (s *system) putConfig(version, bodyBytes int) {
	s.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"turns","host":%q,"prefix":"/pufi791/","type":"streaming","timeout_ms":4000,"latency_target_ms":200,"priority":0,"service":%q,"max_attempts":2,"retained":true,"retention_s":60.0,"sticky":true,"resumable":false,"gap_target_ms":400},`+
		`{"name":"plain","host":%q,"prefix":"/puxa403/","type":"non_idempotent","timeout_ms":30000,"latency_target_ms":500,"priority":2,"service":%q,"max_attempts":1}],`+
		`"services":[{"name":%q,"health_path":"/healthz","engine":{"slots":12,"kv_capacity":378489,"chunk_tokens":22}},{"name":%q,"health_path":"/healthz"}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, host, turnService, host, plainService, turnService, plainService, bodyBytes))
}

// addEntries starts further entries.
func (s *system) addEntries(t *testing.T, n int, l limits) []*machine {
	t.Helper()
	var entries []*machine
	for i := range n {
		m := s.add(t, "entry", kit.Domains[i%len(kit.Domains)], l)
		m.start(t, true)
		entries = append(entries, m)
	}
	for _, m := range entries {
		require.True(t, kit.Await(hangTimeout, func() bool { return kit.IsReady(m.Machine) }), "an entry did not become ready")
	}
	return entries
}

// logFailure logs the ends of the processes' logs if the test has failed.
func (s *system) logFailure(t *testing.T) {
	if !t.Failed() {
		return
	}
	const tail = 2000
	for _, m := range append(s.members[:len(s.members):len(s.members)], s.entry) {
		if m != nil {
			text := m.Log()
			t.Logf("%s:\n%s", m.Name, text[max(0, len(text)-tail):])
		}
	}
}

func (s *system) add(t *testing.T, role, domain string, l limits) *machine {
	t.Helper()
	added, err := s.Add(role, domain)
	require.NoError(t, err)
	m := &machine{Machine: added, limits: l, config: filepath.Join(s.Dir, added.Name+".yaml"), template: "../../deploy/entry.yaml.tmpl"}
	if role == "ledger" {
		m.descriptors, m.template = 0, "../../"+templatePath
	}
	return m
}

func (s *system) answerPlain(w http.ResponseWriter, r *http.Request, _ string) {
	if s.writeEndless(w, r) {
		return
	}
	switch r.URL.Path {
	case hangingPath:
		s.hangs.Add(1)
		<-s.release
		return
	case largePath:
		_, _ = io.WriteString(w, strings.Repeat("x", largeAnswerBytes))
		return
	}
	_, _ = io.WriteString(w, "yes")
}

func (s *system) answerTurn(w http.ResponseWriter, r *http.Request, _ string) {
	if s.writeEndless(w, r) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: said\n\n")
}

// newID returns an id that no other request of the system has.
func (s *system) newID() string { return fmt.Sprintf("r%d", s.nextID.Add(1)) }

// ordinary sends a small plain request on a connection of its own, as ordinary callers do: it is
// sent again if it was refused with a promise or the connection was closed unread.
func (s *system) ordinary(body string) error {
	return s.retry(func() kit.Answer {
		return s.Do(s.entry.Front, &kit.Request{Method: http.MethodPost, Host: host, Path: plainPath, ID: s.newID(), Body: body, Deadline: ordinaryDeadline})
	})
}

// ordinaryTurn sends a small turn that is stored.
func (s *system) ordinaryTurn(body string) error {
	return s.retry(func() kit.Answer { return s.turn(s.newID(), "", "", body) })
}

// turn sends one turn of a program that continues a turn; the program may be empty.
func (s *system) turn(id, programID, previous, body string) kit.Answer {
	return s.turnAt(s.entry, id, programID, previous, body)
}

// turnAt is turn through an entry.
func (s *system) turnAt(entry *machine, id, programID, previous, body string) kit.Answer {
	header := map[string]string{}
	if programID != "" {
		header["X-Rhubarbsaddle-Program-Id"] = programID
		header["X-Rhubarbsaddle-Session-Id"] = programID
		header["X-Rhubarbsaddle-Program-Deadline-Ms"] = "60000"
	}
	if previous != "" {
		header["X-Rhubarbsaddle-Previous-Turn"] = previous
	}
	return s.Do(entry.Front, &kit.Request{Method: http.MethodPost, Host: host, Path: turnPath, ID: id, Body: body, Deadline: ordinaryDeadline, Header: header})
}

// retry sends a request again until it is served or its deadline has passed.
func (s *system) retry(send func() kit.Answer) error { return s.retryUntil(ordinaryDeadline, send) }

func (s *system) retryUntil(limit time.Duration, send func() kit.Answer) error {
	var a kit.Answer
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(retryPause) {
		if a = send(); a.Whole() {
			return nil
		}
	}
	return fmt.Errorf("not served: %v", a)
}

// usage is what a process has held at most.
type usage struct {
	mu sync.Mutex
	// bytes are those in the process's memory and those that have arrived at its listeners but
	// are not read yet.
	bytes       int64
	descriptors int
}

// watch measures a process until the test ends.
func watch(t *testing.T, m *machine) *usage {
	t.Helper()
	u := &usage{}
	proc, err := procfs.NewProc(m.pid())
	require.NoError(t, err)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			u.sample(proc, m.IP)
			select {
			case <-stop:
				return
			case <-time.After(samplePeriod):
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
	return u
}

func (u *usage) sample(proc procfs.Proc, ip string) {
	status, err := proc.NewStatus()
	if err != nil {
		return
	}
	descriptors, err := proc.FileDescriptorsLen()
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bytes = max(u.bytes, int64(status.VmRSS)+unreadBytes(ip))
	u.descriptors = max(u.descriptors, descriptors)
}

// get returns the most bytes and descriptors so far.
func (u *usage) get() (bytes int64, descriptors int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bytes, u.descriptors
}

// unreadBytes returns the bytes in the receive buffers of the sockets at an address, from the
// columns local_address and tx_queue:rx_queue of the kernel's table.
func unreadBytes(ip string) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	octets := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", octets[3], octets[2], octets[1], octets[0])
	var total int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err == nil {
			total += bytes
		}
	}
	return total
}

// requireWithin checks that the processes live and stayed within their limits.
func (s *system) requireWithin(t *testing.T, used map[*machine]*usage) {
	t.Helper()
	for m, u := range used {
		bytes, descriptors := u.get()
		t.Logf("%s held %.0f MB and %d descriptors at most", m.Name, float64(bytes)/1e6, descriptors)
		assert.Falsef(t, m.hasEnded(), "%s has ended", m.Name)
		assert.LessOrEqualf(t, bytes, int64(m.memoryMB)*1e6, "%s held more than its memory", m.Name)
		if m.descriptors > 0 {
			assert.LessOrEqualf(t, descriptors, m.descriptors, "%s held more than its descriptors", m.Name)
		}
	}
}
