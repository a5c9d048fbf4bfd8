// Command cases runs one case of the review as a script. It exits with 1 if the rule was broken, 0
// if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

const (
	broken    = 1
	couldnt   = 2
	startTime = 20 * time.Second
	// longest is how long a case may run.
	longest = 115 * time.Second

	host        = "ficu95.example"
	chatPath    = "/pufi791/4b"
	bookingPath = "/puxa403/2f"
	chatService = "huvo11a"
	plainServer = "wuno96b"
)

// run is one case. It reports whether the rule was broken, with what was seen.
type run func(d *kit.Deployment, trouble bool) (isBroken bool, seen string, err error)

func main() {
	cases := map[string]run{"replaced": replacedMember, "slowreader": slowReader, "condemned": condemnedPath, "missed": missedConfig}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(couldnt)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c run, record string) int {
	d, err := kit.New(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	defer d.Close()
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ended:
		case <-time.After(longest):
		}
		d.Record("ended from outside or after %v", longest)
		d.Close()
		os.Exit(couldnt)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	d.Record("trouble=%t", trouble)
	isBroken, seen, err := c(d, trouble)
	if err != nil {
		d.Record("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldnt
	}
	d.Record("broken=%t: %s", isBroken, seen)
	fmt.Printf("broken=%t: %s\n", isBroken, seen)
	if isBroken {
		return broken
	}
	return 0
}

// putConfig writes a configuration with a route of turns that the system keeps and one of calls
// that may run once.
func putConfig(d *kit.Deployment, version int) { putConfigWith(d, version, "/unused0/") }

// putConfigWith also has a further route of such calls.
func putConfigWith(d *kit.Deployment, version int, further string) {
	d.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"r-hh2b9wu","host":%q,"prefix":"/pufi791/","type":"streaming","timeout_ms":4000,"latency_target_ms":200,"priority":0,"service":%q,"max_attempts":2,"retained":true,"retention_s":60.0,"sticky":true,"resumable":false,"gap_target_ms":400},`+
		`{"name":"r-zji9n73","host":%q,"prefix":"/puxa403/","type":"non_idempotent","timeout_ms":3000,"latency_target_ms":500,"priority":2,"service":%q,"max_attempts":1},`+
		`{"name":"r-k2p0x1f","host":%q,"prefix":"/lohu930/","type":"streaming","timeout_ms":4000,"latency_target_ms":200,"priority":1,"service":%q,"max_attempts":2,"retained":false,"retention_s":60.0,"sticky":true,"resumable":false,"gap_target_ms":400},`+
		`{"name":"r-further","host":%q,"prefix":%q,"type":"non_idempotent","timeout_ms":3000,"latency_target_ms":500,"priority":2,"service":%q,"max_attempts":1}],`+
		`"services":[{"name":%q,"health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":378489,"kv_token_bytes":18432,"link_mbps":1100000.0,"moves":true,"backups":true,"chunk_tokens":22,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},`+
		`{"name":%q,"health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, host, chatService, host, plainServer, host, chatService, host, further, plainServer, chatService, plainServer))
	d.Record("operators have written version %d of the configuration", version)
}

// system is the part of a deployment that all cases have: an entry and three ledger members.
type system struct {
	entries, members []*kit.Machine
}

// start starts entries and three ledger members for the first time and waits until the entries
// are ready.
func start(d *kit.Deployment, entries int) (*system, error) {
	s := &system{}
	for _, domain := range kit.Domains {
		m, err := d.Add("ledger", domain)
		if err != nil {
			return nil, err
		}
		s.members = append(s.members, m)
	}
	for i := range entries {
		m, err := d.Add("entry", kit.Domains[i%len(kit.Domains)])
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, m)
	}
	for _, m := range append(append([]*kit.Machine{}, s.members...), s.entries...) {
		if err := m.Start(true); err != nil {
			return nil, err
		}
	}
	for _, m := range s.entries {
		if !kit.Await(startTime, func() bool { return kit.IsReady(m) }) {
			return nil, fmt.Errorf("%s did not become ready", m.Name)
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(3 * time.Second)
	return s, nil
}

// eventsOf returns the events of a turn, which depend on its input alone.
func eventsOf(input string, n int) []string {
	var data []string
	for i := 1; i <= n; i++ {
		data = append(data, fmt.Sprintf("%.12s-%d", input, i))
	}
	return data
}

// stream returns the handler of an engine that answers a turn with n events, the first of them
// after the event in Last-Event-Id, if there is one.
func stream(n int, pause time.Duration) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Content-Type", "text/event-stream")
		// A request without the header has no such event.
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i, data := range eventsOf(lastLine(body), n) {
			if i+1 <= from {
				continue
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, data); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// lastLine returns what follows the last line feed of a prompt: the new input.
func lastLine(body string) string {
	for i := len(body) - 1; i >= 0; i-- {
		if body[i] == '\n' {
			return body[i+1:]
		}
	}
	return body
}

// turnRequest returns a turn of a program.
func turnRequest(program, id, previous, input string) *kit.Request {
	header := map[string]string{
		"X-Rhubarbsaddle-Program-Id": program, "X-Rhubarbsaddle-Session-Id": program + "-s", "X-Rhubarbsaddle-Program-Deadline-Ms": "60000",
		"X-Rhubarbsaddle-Token-Budget": "22880", "X-Rhubarbsaddle-Token-Usage": "1840,572", "X-Rhubarbsaddle-Model": "m",
		"X-Rhubarbsaddle-Prefix-Hash": "5c1e07a2:800,91bd3f06:410",
	}
	if previous != "" {
		header["X-Rhubarbsaddle-Previous-Turn"] = previous
	}
	return &kit.Request{Method: http.MethodPost, Host: host, Path: chatPath, ID: id, Body: input, Header: header, Deadline: 4 * time.Second}
}
