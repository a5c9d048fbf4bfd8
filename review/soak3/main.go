// Command soak3 runs programs, tools and random faults against the processes of a small deployment,
// and checks what clients and engines see. It is a trial of the third review, not a case.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig3"
)

const (
	chunk    = 22
	events   = 6
	maxTurn  = chunk * events
	programs = 40
)

type world struct {
	rig     *rig3.Rig
	entries []*rig3.Machine
	members []*rig3.Machine
	nextID  atomic.Int64
	trouble atomic.Bool
	proxy   *rig3.Proxy

	mu     sync.Mutex
	runs   map[string][]string
	expect map[string]string
	bad    map[string]int
	counts map[string]int
}

func (w *world) id() string { return fmt.Sprintf("q%x", w.nextID.Add(1)*7919) }

func (w *world) broken(rule, format string, args ...any) {
	w.mu.Lock()
	w.bad[rule]++
	n := w.bad[rule]
	w.mu.Unlock()
	if n < 30 {
		w.rig.Note("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	}
}

func (w *world) count(name string) {
	w.mu.Lock()
	w.counts[name]++
	w.mu.Unlock()
}

func (w *world) ran(id, engine string) {
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], engine)
	w.mu.Unlock()
}

func main() {
	seconds, _ := strconv.Atoi(os.Args[2])
	rig, err := rig3.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	w := &world{rig: rig, runs: map[string][]string{}, expect: map[string]string{}, bad: map[string]int{}, counts: map[string]int{}}
	code := w.play(time.Duration(seconds) * time.Second)
	for _, m := range append(append([]*rig3.Machine(nil), w.members...), w.entries...) {
		text, _ := os.ReadFile(m.LogPath())
		_ = os.WriteFile(os.Args[1]+"."+m.Name+".log", text, 0o600)
	}
	rig.Close()
	os.Exit(code)
}

func (w *world) config(version int) {
	w.rig.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"keep","host":%q,"prefix":"/keep/","type":"streaming","timeout_ms":4000,"latency_target_ms":200,"priority":0,"service":"llm","max_attempts":2,"retained":true,"retention_s":%s,"sticky":true,"resumable":false,"gap_target_ms":400},`+
		`{"name":"draft","host":%q,"prefix":"/draft/","type":"streaming","timeout_ms":4000,"latency_target_ms":200,"priority":1,"service":"llm","max_attempts":2,"retained":false,"retention_s":%s,"sticky":true,"resumable":true,"gap_target_ms":400},`+
		`{"name":"once","host":%q,"prefix":"/once/","type":"non_idempotent","timeout_ms":3000,"latency_target_ms":500,"priority":2,"service":"app","max_attempts":1},`+
		`{"name":"map","host":%q,"prefix":"/map/","type":"idempotent","timeout_ms":1200,"latency_target_ms":150,"priority":2,"service":"app","max_attempts":2}],`+
		`"services":[{"name":"llm","health_path":"/healthz","engine":{"slots":12,"kv_capacity":378489,"chunk_tokens":22}},{"name":"app","health_path":"/healthz"}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, rig3.Host, retention(), rig3.Host, retention(), rig3.Host, rig3.Host))
}

func (w *world) play(length time.Duration) int {
	w.config(7)
	proxy, err := w.rig.NewProxy()
	if err != nil {
		return 2
	}
	w.proxy = proxy
	zones := []string{"a", "b", "c"}
	for i := range 9 {
		if _, err := w.rig.AddHTTPEngine(fmt.Sprintf("llm-%d", i), "llm", zones[i%3], 12, w.turn); err != nil {
			return 2
		}
	}
	for i := range 6 {
		if _, err := w.rig.AddHTTPEngine(fmt.Sprintf("app-%d", i), "app", zones[i%3], 6, w.tool); err != nil {
			return 2
		}
	}
	memberZones := zones
	if text := os.Getenv("ZONES"); text != "" {
		memberZones = strings.Split(text, "")
	}
	for _, z := range memberZones {
		w.members = append(w.members, w.rig.Add("ledger", z))
	}
	for _, z := range zones {
		w.entries = append(w.entries, w.rig.Add("entry", z))
	}
	if err := w.rig.StartAll(); err != nil {
		fmt.Println(err)
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wait sync.WaitGroup
	for i := range programs {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				w.program(ctx, fmt.Sprintf("p%d-%d", i, n))
			}
		})
	}
	if os.Getenv("DOWN") != "" {
		wait.Go(func() { w.longOutage(ctx) })
	}
	if os.Getenv("CALM") == "" {
		w.trouble.Store(true)
		if os.Getenv("CHURN") != "" {
			wait.Go(func() { w.churn(ctx) })
		} else if os.Getenv("HARD") != "" {
			wait.Go(func() { w.hardFaults(ctx) })
		} else {
			wait.Go(func() { w.faults(ctx) })
		}
	}
	wait.Wait()
	client.CloseIdleConnections()
	time.Sleep(5 * time.Second)
	for _, m := range w.entries {
		w.printHeld(m)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, at := range w.runs {
		if len(at) > 1 && strings.HasPrefix(w.expect[id], "once") {
			fmt.Println("TWICE", id, at, w.expect[id])
			w.bad["TWICE"]++
		}
	}
	fmt.Println(w.counts)
	fmt.Println("bad", w.bad)
	if len(w.bad) > 0 {
		return 1
	}
	return 0
}

// misbehave plays what engines do in trouble. It reports whether the request is dealt with before
// it has run.
func (w *world) refuses(rw http.ResponseWriter) bool {
	if rand.IntN(40) == 0 {
		rw.Header().Set(rig3.NotExecuted, "1")
		rw.WriteHeader(503)
		return true
	}
	return false
}

func hijackClose(rw http.ResponseWriter, text string) {
	nc, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(nc, text)
	if rand.IntN(2) == 0 {
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
	_ = nc.Close()
}

func (w *world) tool(e *rig3.Engine, rw http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(rig3.RequestID)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if w.refuses(rw) {
		return
	}
	w.ran(id, e.ID)
	want := w.sentBody(id)
	if want != string(body) {
		w.broken("UNASKED", "%s gets %d bytes of body, sent were %d", id, len(body), len(want))
	}
	time.Sleep(time.Duration(5+rand.IntN(30)) * time.Millisecond)
	text := "answer to " + id + " " + strings.Repeat("x", rand.IntN(3000))
	if w.trouble.Load() {
		switch rand.IntN(60) {
		case 0:
			hijackClose(rw, "")
			return
		case 1:
			hijackClose(rw, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", rig3.RequestID, id, rig3.Signature, len(text), text[:len(text)/2]))
			return
		case 2:
			hijackClose(rw, "garbage that is no answer\r\n\r\n")
			return
		case 3:
			rw.Header().Set(rig3.Signature, "s "+e.ID)
			rw.WriteHeader(500)
			return
		case 4:
			nc, _, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", rig3.RequestID, id, rig3.Signature, len(text), text)
			_, _ = io.WriteString(nc, one+one)
			time.Sleep(300 * time.Millisecond)
			_ = nc.Close()
			return
		case 5:
			time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
		}
	}
	rw.Header().Set(rig3.Signature, "s "+e.ID)
	_, _ = io.WriteString(rw, text)
}

func (w *world) sentBody(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, body, _ := strings.Cut(w.expect[id], "|")
	return body
}

func (w *world) turn(e *rig3.Engine, rw http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(rig3.RequestID)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if w.refuses(rw) {
		return
	}
	w.ran(id, e.ID)
	if want := w.sentBody(id); want != string(body) {
		w.broken("UNASKED", "turn %s gets %d bytes, expected %d", id, len(body), len(want))
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(rig3.Signature, "s "+e.ID)
	control := http.NewResponseController(rw)
	for k := from + 1; k <= events; k++ {
		time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
		if req.Context().Err() != nil {
			return
		}
		if w.trouble.Load() {
			switch rand.IntN(250) {
			case 0:
				hijackCut(rw, fmt.Sprintf("id: %d\ndata: cu", k))
				return
			case 1:
				hijackCut(rw, "")
				return
			case 2:
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			}
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s.%d\n\n", k, id, k)
		if control.Flush() != nil {
			return
		}
	}
}

func hijackCut(rw http.ResponseWriter, text string) {
	_, _ = io.WriteString(rw, text)
	_ = http.NewResponseController(rw).Flush()
	panic(http.ErrAbortHandler)
}

func (w *world) front() *rig3.Machine { return w.entries[rand.IntN(len(w.entries))] }

func (w *world) program(ctx context.Context, name string) {
	switch rand.IntN(5) {
	case 0, 1:
		w.draftProgram(ctx, name)
		return
	case 2:
		w.fanProgram(ctx, name)
		return
	}
	chain, previous := "", ""
	budget := maxTurn * (3 + rand.IntN(8))
	handed, turns := 0, 1+rand.IntN(15)
	for t := 0; t < turns && ctx.Err() == nil; t++ {
		input := fmt.Sprintf("%s input %d %s\n", name, t, strings.Repeat("w", rand.IntN(20000)))
		ok := false
		for try := 0; try < 6 && ctx.Err() == nil; try++ {
			id := w.id()
			status, out, tokens, whole := w.sendTurn("/keep/x", id, name, previous, input, chain+input, budget, "")
			handed += tokens
			w.count(fmt.Sprintf("keep %d whole %v", status, whole))
			if handed > budget+maxTurn {
				w.broken("BUDGET", "%s handed %d of %d", name, handed, budget)
			}
			if status == 402 {
				return
			}
			if (status == 404 || status == 410) && previous != "" {
				w.broken("LOST", "%s turn after %s gets %d", name, previous, status)
			}
			if whole {
				chain += input + out
				previous = id
				ok = true
				break
			}
			time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
		}
		if !ok {
			w.count("program failed")
			return
		}
		w.call()
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
	w.count("program ended")
}

func (w *world) draftProgram(ctx context.Context, name string) {
	budget := maxTurn * (3 + rand.IntN(8))
	handed := 0
	for t := 0; t < 8 && ctx.Err() == nil; t++ {
		body := fmt.Sprintf("%s draft %d %s", name, t, strings.Repeat("d", rand.IntN(20000)))
		last, resumes := "", ""
		for try := 0; try < 4; try++ {
			id := w.id()
			status, out, tokens, whole := w.sendTurn("/draft/x", id, name, "", body, body, budget, last+"|"+resumes)
			handed += tokens
			w.count(fmt.Sprintf("draft %d whole %v resumed %v", status, whole, last != ""))
			if handed > budget+maxTurn {
				w.broken("BUDGET", "%s handed %d of %d", name, handed, budget)
			}
			if status == 402 {
				return
			}
			if whole {
				break
			}
			if n := strings.Count(out, "\n"); n > 0 {
				from, _ := strconv.Atoi(last)
				last = strconv.Itoa(from + n)
				if resumes == "" {
					resumes = id
				}
			}
			time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
		}
	}
}

func (w *world) note(id, kind, body string) {
	w.mu.Lock()
	w.expect[id] = kind + "|" + body
	w.mu.Unlock()
}

// sendTurn returns the status, the data of the events with a line feed each, the tokens handed out
// and whether the stream is whole.
func (w *world) sendTurn(path, id, program, previous, input, full string, budget int, resume string) (int, string, int, bool) {
	kind := "once"
	last, resumes, _ := strings.Cut(resume, "|")
	if strings.HasPrefix(path, "/draft") {
		kind = "again"
	}
	w.note(id, kind, full)
	m := w.front()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	if rand.IntN(60) == 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(rand.IntN(150))*time.Millisecond)
		defer cancel()
	}
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+m.Front()+path, strings.NewReader(input))
	req.Host = rig3.Host
	req.Header.Set(rig3.RequestID, id)
	req.Header.Set(rig3.Deadline, "4000")
	req.Header.Set("X-Rhubarbsaddle-Program-Id", program)
	req.Header.Set("X-Rhubarbsaddle-Session-Id", program)
	req.Header.Set("X-Rhubarbsaddle-Program-Deadline-Ms", "60000")
	req.Header.Set("X-Rhubarbsaddle-Token-Budget", strconv.Itoa(budget))
	req.Header.Set("X-Rhubarbsaddle-Token-Usage", fmt.Sprintf("100,%d", maxTurn))
	if previous != "" {
		req.Header.Set("X-Rhubarbsaddle-Previous-Turn", previous)
	}
	from := 0
	if last != "" {
		req.Header.Set("Last-Event-Id", last)
		req.Header.Set("Resumes", resumes)
		from, _ = strconv.Atoi(last)
	}
	response, err := client.Do(req)
	if err != nil {
		return 0, "", 0, false
	}
	defer response.Body.Close()
	if response.StatusCode != 200 {
		_, _ = io.Copy(io.Discard, response.Body)
		w.checkRefused(id, kind, response.StatusCode)
		return response.StatusCode, "", 0, false
	}
	out, tokens, k := "", 0, from
	in := bufio.NewReader(response.Body)
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && line == "" {
			whole := k == events
			if !whole {
				w.broken("ORDER", "%s ends as complete after event %d", id, k)
			}
			return 200, out, tokens, whole
		}
		if err != nil {
			return 200, out, tokens, false
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			k++
			if data != fmt.Sprintf("%s.%d\n", id, k) {
				w.broken("ORDER", "%s event %d is %q", id, k, data)
			}
			out += data
			tokens += chunk
		}
	}
}

func (w *world) checkRefused(id, kind string, status int) {
	if status != 503 && status != 429 && status != 402 && status != 408 && status != 421 {
		return
	}
	if kind == "again" && status != 402 {
		return
	}
	check := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.runs[id]) > 0
	}
	if check() {
		w.broken("REFUSED", "%s was answered %d and has run", id, status)
		return
	}
	time.AfterFunc(3*time.Second, func() {
		if check() {
			w.broken("REFUSED", "%s was answered %d and runs later", id, status)
		}
	})
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 10, IdleConnTimeout: 10 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// call sends a tool call.
func (w *world) call() {
	once := rand.IntN(2) == 0
	path, kind := "/map/y", "again"
	if once {
		path, kind = "/once/y", "once"
	}
	id := w.id()
	body := strings.Repeat("b", rand.IntN(30000))
	w.note(id, kind, body)
	m := w.front()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+m.Front()+path, strings.NewReader(body))
	req.Host = rig3.Host
	req.Header.Set(rig3.RequestID, id)
	req.Header.Set(rig3.Deadline, "3000")
	response, err := client.Do(req)
	if err != nil {
		w.count("tool error")
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	w.count(fmt.Sprintf("tool %s %d %v", kind, response.StatusCode, err == nil))
	if err == nil && response.StatusCode == 200 {
		if !strings.HasPrefix(string(text), "answer to "+id+" ") || response.Header.Get(rig3.Signature) == "" {
			w.broken("MIXED", "%s gets %.60q", id, text)
		}
	}
	if kind == "once" {
		w.checkRefused(id, kind, response.StatusCode)
	}
}

func (w *world) faults(ctx context.Context) {
	version := 7
	sleep := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for ctx.Err() == nil {
		sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
		m, e := w.members[rand.IntN(3)], w.entries[rand.IntN(3)]
		switch rand.IntN(12) {
		case 0, 1:
			m.Kill()
			sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
			_ = m.Start(false)
			sleep(5 * time.Second)
		case 2, 3:
			m.Signal(syscall.SIGSTOP)
			sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
			m.Signal(syscall.SIGCONT)
			sleep(5 * time.Second)
		case 4, 5:
			m.Kill()
			_ = m.Wipe()
			sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			_ = m.Start(false)
			sleep(6 * time.Second)
		case 6:
			e.Kill()
			sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			_ = e.Start(false)
		case 7:
			e.Signal(syscall.SIGSTOP)
			sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
			e.Signal(syscall.SIGCONT)
		case 8:
			e.Signal(syscall.SIGTERM)
			for range 80 {
				if e.HasEnded() {
					break
				}
				sleep(100 * time.Millisecond)
			}
			e.Kill()
			_ = e.Start(false)
		case 9:
			m.Signal(syscall.SIGTERM)
			for range 80 {
				if m.HasEnded() {
					break
				}
				sleep(100 * time.Millisecond)
			}
			m.Kill()
			_ = m.Start(false)
			sleep(6 * time.Second)
		case 10:
			w.rig.Note("store down")
			w.rig.Store.SetDown(true)
			sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
			w.rig.Store.SetDown(false)
			w.rig.Note("store up")
		case 11:
			w.rig.Store.LoseResponses(2)
			w.rig.Store.CompactHistory()
			e.Signal(syscall.SIGHUP)
			version++
			w.config(version)
		}
	}
	for _, m := range append(w.members, w.entries...) {
		if m.HasEnded() {
			_ = m.Start(false)
		}
		m.Signal(syscall.SIGCONT)
	}
}

// hardFaults overlaps the losses of members beyond what is tolerated at once, but loses one disk at
// a time at most.
func (w *world) hardFaults(ctx context.Context) {
	sleep := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for ctx.Err() == nil {
		w.proxy.Lost.Store(int64(rand.IntN(2) * 35))
		w.proxy.Late.Store(int64(rand.IntN(2) * 35))
		sleep(time.Duration(1000+rand.IntN(3000)) * time.Millisecond)
		order := rand.Perm(3)
		wipe := rand.IntN(3) > 0
		// The disks of members that are not stable may be lost only after they were complete again.
		if rand.IntN(3) == 0 {
			for _, i := range order {
				w.members[i].Kill()
			}
			if wipe {
				_ = w.members[order[0]].Wipe()
			}
			if rand.IntN(2) == 0 {
				for _, e := range w.entries {
					e.Kill()
				}
			}
			sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			for _, i := range order {
				_ = w.members[i].Start(false)
				sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			}
			for _, e := range w.entries {
				if e.HasEnded() {
					_ = e.Start(false)
				}
			}
		} else {
			m := w.members[order[0]]
			m.Kill()
			if wipe {
				_ = m.Wipe()
			}
			sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			_ = m.Start(false)
			other := w.members[order[1]]
			switch rand.IntN(4) {
			case 0:
				sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
				other.Kill()
				sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
				_ = other.Start(false)
			case 1:
				sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
				other.Signal(syscall.SIGSTOP)
				sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
				other.Signal(syscall.SIGCONT)
			case 2:
				w.rig.Store.SetDown(true)
				sleep(time.Duration(rand.IntN(5000)) * time.Millisecond)
				w.rig.Store.SetDown(false)
			}
		}
		w.proxy.Lost.Store(0)
		w.proxy.Late.Store(0)
		// Late writes, recovery and the time until a disk counts again.
		sleep(13 * time.Second)
		w.rig.Note("served since: %v", w.summary())
	}
	for _, m := range append(w.members, w.entries...) {
		if m.HasEnded() {
			_ = m.Start(false)
		}
		m.Signal(syscall.SIGCONT)
	}
}

func (w *world) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprint(w.counts["keep 200 whole true"], w.counts["draft 200 whole true resumed false"])
}

// retention is the retention of turns in seconds.
func retention() string {
	if text := os.Getenv("RETENTION"); text != "" {
		return text
	}
	return "60.0"
}

// churn changes the members: it adds, retires, replaces, wipes and stops them, one at a time, and
// waits until the one before counts again.
func (w *world) churn(ctx context.Context) {
	sleep := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	live := append([]*rig3.Machine(nil), w.members...)
	zones := []string{"a", "b", "c"}
	add := func() {
		m := w.rig.Add("ledger", zones[rand.IntN(3)])
		w.members = append(w.members, m)
		live = append(live, m)
		_ = m.Start(false)
	}
	remove := func(i int) *rig3.Machine {
		m := live[i]
		live = append(append([]*rig3.Machine(nil), live[:i]...), live[i+1:]...)
		return m
	}
	catchUp := 4900 * time.Millisecond
	for ctx.Err() == nil {
		w.proxy.Lost.Store(int64(rand.IntN(2) * 35))
		w.proxy.Late.Store(int64(rand.IntN(2) * 35))
		i := rand.IntN(len(live))
		m := live[i]
		switch rand.IntN(8) {
		case 0:
			if len(live) < 5 {
				w.rig.Note("churn: add")
				add()
				sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			}
		case 1, 2:
			if len(live) < 4 {
				add()
				sleep(catchUp)
				i = rand.IntN(len(live))
				m = live[i]
			}
			w.rig.Note("churn: retire %s", m.Name)
			w.rig.Store.Put("op/retire/"+m.Name, []byte(`{"duration_s":9}`))
			done := rig3.Await(20*time.Second, func() bool {
				return strings.Contains(string(w.rig.Store.Value("status/retire/"+m.Name)), "completed") || ctx.Err() != nil
			})
			w.rig.Note("churn: retired %s: %v", m.Name, done)
			if !done || ctx.Err() != nil {
				break
			}
			remove(i)
			m.Kill()
			_ = m.Wipe()
			if rand.IntN(2) == 0 {
				other := live[rand.IntN(len(live))]
				w.rig.Note("churn: wipe %s right after", other.Name)
				other.Kill()
				_ = other.Wipe()
				sleep(time.Second)
				_ = other.Start(false)
				sleep(catchUp)
			}
		case 3:
			w.rig.Note("churn: replace %s", m.Name)
			remove(i)
			m.Kill()
			_ = m.Wipe()
			sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
			add()
			sleep(catchUp)
		case 4, 5:
			w.rig.Note("churn: wipe %s", m.Name)
			m.Kill()
			_ = m.Wipe()
			sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			_ = m.Start(false)
			sleep(catchUp)
		case 6:
			m.Signal(syscall.SIGSTOP)
			sleep(time.Duration(rand.IntN(12000)) * time.Millisecond)
			m.Signal(syscall.SIGCONT)
			sleep(catchUp)
		case 7:
			m.Signal(syscall.SIGTERM)
			rig3.Await(8*time.Second, m.HasEnded)
			m.Kill()
			sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			_ = m.Start(false)
			sleep(catchUp)
		}
		w.proxy.Lost.Store(0)
		w.proxy.Late.Store(0)
		w.rig.Note("%d members; served since: %v", len(live), w.summary())
	}
	for _, m := range live {
		if m.HasEnded() {
			_ = m.Start(false)
		}
		m.Signal(syscall.SIGCONT)
	}
}

// fanProgram runs several lines of turns of one program at once, until its budget is spent.
func (w *world) fanProgram(ctx context.Context, name string) {
	budget := maxTurn * (5 + rand.IntN(30))
	var handed atomic.Int64
	var wait sync.WaitGroup
	for line := range 6 {
		wait.Go(func() {
			spent := 0
			for t := 0; t < 40 && spent < 3 && ctx.Err() == nil; t++ {
				id := w.id()
				body := fmt.Sprintf("%s fan %d %d", name, line, t)
				status, _, tokens, _ := w.sendTurn("/draft/x", id, name, "", body, body, budget, "")
				if total := handed.Add(int64(tokens)); total > int64(budget+maxTurn) {
					w.broken("BUDGET", "%s handed %d of %d", name, total, budget)
				}
				w.count(fmt.Sprintf("fan %d", status))
				if status == 402 {
					spent++
					time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				}
			}
		})
	}
	wait.Wait()
	if handed.Load() > int64(budget) {
		w.count("fan over budget by part of a turn")
	}
}

// printHeld prints what an entry holds for callers once there are none.
func (w *world) printHeld(m *rig3.Machine) {
	response, err := http.Get("http://" + m.IP + ":9464/metrics")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Body.Close()
	for in := bufio.NewScanner(response.Body); in.Scan(); {
		if strings.HasPrefix(in.Text(), "rhubarbsaddle_caller_") || strings.HasPrefix(in.Text(), "go_goroutines") {
			fmt.Println(m.Name, in.Text())
		}
	}
}

// longOutage takes the store away for most of the trial.
func (w *world) longOutage(ctx context.Context) {
	time.Sleep(15 * time.Second)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		w.rig.Store.SetHung(true)
	}
	w.rig.Store.SetHung(false)
}
