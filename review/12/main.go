// Command 12 lets programs go on after pauses that are shorter than the retention of their turns. With
// the disruption, two ledger machines freeze at different times, and the third loses its disk long
// after.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig3"
)

const (
	service = "huvo11a"
	path    = "/pufi791/4b"
	// chains is the number of lines of turns, which are as many turns a second as the site has while
	// a machine is frozen.
	chains = 120
	events = 4
	// The times are from the start of traffic. The freezes last 3.2 s and the disk comes back empty
	// after 1 s, which the site file has for these disruptions.
	firstFreeze  = 2 * time.Second
	secondFreeze = 50 * time.Second
	freeze       = 3200 * time.Millisecond
	// early is how long a machine has been frozen when the turns begin, and spread the time in which
	// they begin.
	early  = 100 * time.Millisecond
	spread = 2800 * time.Millisecond
	wipe   = 88 * time.Second
	dark   = time.Second
	// judged is when the programs go on: recover_s (12) after the machine is back.
	judged = wipe + dark + 12*time.Second
	tries  = 6
	wait   = 4 * time.Second
	// pause is the time between two tries, which the answers name as Retry-After.
	pause = 400 * time.Millisecond
	// aim is the time in which each program should be finished, its pauses included.
	aim = 150 * time.Second
)

// chain is a line of turns.
type chain struct {
	text, last string
	turns      int
	failed     int
}

type world struct {
	rig   *rig3.Rig
	entry *rig3.Machine
	began time.Time

	mu     sync.Mutex
	bodies map[string]string
	next   int
}

func main() { os.Exit(play(os.Args[1])) }

func play(dir string) int {
	rig, err := rig3.New(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return rig3.NotRun
	}
	defer rig.Close()
	w := &world{rig: rig, bodies: make(map[string]string)}
	code, err := w.run()
	if err != nil {
		rig.Note("not run: %v", err)
		fmt.Println("not run:", err)
		return rig3.NotRun
	}
	return code
}

func (w *world) run() (int, error) {
	w.rig.Store.Put("op/config", fmt.Appendf(nil, `{"version":7,"routes":[`+
		`{"name":"pitch-haggle","host":%q,"prefix":"/pufi791/","type":"streaming","timeout_ms":4000,"latency_target_ms":200,"priority":0,"service":%q,"max_attempts":2,"retained":true,"retention_s":60.0,"sticky":true,"resumable":false,"gap_target_ms":400}],`+
		`"services":[{"name":%q,"health_path":"/healthz","engine":{"slots":12,"kv_capacity":378489,"chunk_tokens":22}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, rig3.Host, service, service))
	zones := []string{"milano-a", "milano-b", "torino-c"}
	for i := range 6 {
		if _, err := w.rig.AddHTTPEngine(fmt.Sprintf("i-%d", i+1), service, zones[i%3], 12, w.serve); err != nil {
			return 0, err
		}
	}
	var members []*rig3.Machine
	for _, zone := range zones {
		members = append(members, w.rig.Add("ledger", zone))
	}
	w.entry = w.rig.Add("entry", zones[0])
	if err := w.rig.StartAll(); err != nil {
		return 0, err
	}
	if !rig3.Await(10*time.Second, func() bool { return w.turn("", "warm-up", "hello\n") != "" }) {
		return 0, fmt.Errorf("no turn was served")
	}
	w.began = time.Now()
	w.rig.Note("traffic starts")
	lines := make([]*chain, chains)
	w.freezeDuring(members[1], firstFreeze, func() { w.each(lines, func(i int) { lines[i] = w.first(i) }) })
	w.freezeDuring(members[2], secondFreeze, func() { w.each(lines, func(i int) { w.goOn(i, lines[i]) }) })
	w.until(wipe)
	if rig3.Trouble() {
		members[0].Kill()
		if err := members[0].Wipe(); err != nil {
			return 0, err
		}
		time.Sleep(dark)
		if err := members[0].Start(false); err != nil {
			return 0, err
		}
	}
	w.until(judged)
	return w.judge(lines)
}

func (w *world) until(at time.Duration) { time.Sleep(time.Until(w.began.Add(at))) }

func (w *world) freezeDuring(m *rig3.Machine, at time.Duration, act func()) {
	w.until(at)
	if rig3.Trouble() {
		m.Signal(syscall.SIGSTOP)
	}
	time.Sleep(early)
	act()
	w.until(at + freeze)
	if rig3.Trouble() {
		m.Signal(syscall.SIGCONT)
	}
}

func (w *world) each(lines []*chain, act func(i int)) {
	var wait sync.WaitGroup
	for i := range lines {
		wait.Go(func() {
			time.Sleep(spread * time.Duration(i) / chains)
			act(i)
		})
	}
	wait.Wait()
}

// first sends the first turn of a program.
func (w *world) first(i int) *chain {
	c := &chain{}
	w.extend(c, programName(i), fmt.Sprintf("pitch %d\n", i))
	return c
}

// goOn sends the next turn of a program.
func (w *world) goOn(i int, c *chain) {
	if c.last == "" {
		return
	}
	w.extend(c, programName(i), fmt.Sprintf("offer %d of %d\n", c.turns, i))
}

func programName(i int) string { return fmt.Sprintf("program-%d", i) }

// extend sends a turn, three times at most, and adds it to the line.
func (w *world) extend(c *chain, program, input string) bool {
	for range 3 {
		w.mu.Lock()
		w.next++
		id := fmt.Sprintf("t%04d", w.next)
		w.mu.Unlock()
		if w.send(id, program, c.last, input, c.text+input).Err == nil && w.ran(id) {
			c.text += input + output(id)
			c.last = id
			c.turns++
			return true
		}
		c.failed++
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// turn sends a turn on its own and returns its id if it is answered whole.
func (w *world) turn(previous, program, input string) string {
	w.mu.Lock()
	w.next++
	id := fmt.Sprintf("t%04d", w.next)
	w.mu.Unlock()
	if got := w.send(id, program, previous, input, input); got.Err != nil || got.Status != http.StatusOK {
		return ""
	}
	return id
}

func (w *world) send(id, program, previous, input, whole string) rig3.Answer {
	header := map[string]string{
		"X-Rhubarbsaddle-Program-Id": program, "X-Rhubarbsaddle-Session-Id": program, "X-Rhubarbsaddle-Program-Deadline-Ms": fmt.Sprint((aim - time.Since(w.began)).Milliseconds()),
		"X-Rhubarbsaddle-Token-Budget": "100000", "X-Rhubarbsaddle-Token-Usage": "100,588",
	}
	if previous != "" {
		header["X-Rhubarbsaddle-Previous-Turn"] = previous
	}
	got := rig3.Do(w.entry.Front(), rig3.Request{Method: http.MethodPost, Path: path, ID: id, Body: []byte(input), Wait: wait, Header: header})
	w.mu.Lock()
	body, hasRun := w.bodies[id]
	w.mu.Unlock()
	w.rig.Note("turn %s of %s after %q: %v; it ran: %v", id, program, previous, got, hasRun)
	if hasRun && body != whole {
		w.rig.Note("BROKEN (UNASKED): turn %s ran with %d bytes instead of %d", id, len(body), len(whole))
	}
	return got
}

func (w *world) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.bodies[id]
	return ok
}

// output is what the system keeps of the answer to a turn.
func output(id string) string {
	var text strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&text, "%s.%d\n", id, n)
	}
	return text.String()
}

// serve is an engine.
func (w *world) serve(e *rig3.Engine, rw http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(rig3.RequestID)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.bodies[id] = string(body)
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(rig3.Signature, "signed-by-"+e.ID)
	for n := 1; n <= events; n++ {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(rw, "id: %d\ndata: %s.%d\n\n", n, id, n)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

// judge lets each program go on, and as many new ones begin.
func (w *world) judge(lines []*chain) (int, error) {
	var mu sync.Mutex
	begun, kept, lost := 0, 0, 0
	w.each(lines, func(i int) {
		hasBegun := w.turn("", fmt.Sprintf("new-%d", i), "a new pitch\n") != ""
		isKept := lines[i].last != "" && lines[i].turns == 2
		isLost := isKept && !w.reaches(i, lines[i])
		mu.Lock()
		defer mu.Unlock()
		begun += count(hasBegun)
		kept += count(isKept)
		lost += count(isLost)
	})
	result := fmt.Sprintf("%d lines of turns, %d of them lost; %d of %d new programs began", kept, lost, begun, len(lines))
	w.rig.Note("%s", result)
	fmt.Println(result)
	switch {
	case kept < len(lines)/2 || begun*10 < len(lines)*9:
		return rig3.NotRun, nil
	case lost > 0:
		return rig3.Broken, nil
	}
	return rig3.Held, nil
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// reaches reports whether the next turn of a line reaches an engine.
func (w *world) reaches(i int, c *chain) bool {
	for range tries {
		w.mu.Lock()
		w.next++
		id := fmt.Sprintf("t%04d", w.next)
		w.mu.Unlock()
		input := "the last offer\n"
		got := w.send(id, programName(i), c.last, input, c.text+input)
		if w.ran(id) {
			return true
		}
		if got.Status == http.StatusNotFound || got.Status == http.StatusGone {
			break
		}
		time.Sleep(pause)
	}
	w.rig.Note("BROKEN (LOST): the turn after %s, which was answered whole less than retention_s (60 s) ago, reaches no engine in %d tries", c.last, tries)
	return false
}
