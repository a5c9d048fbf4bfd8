package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

const (
	// engines is the number of engines, of which crashing ones, a share of 0.15, crash.
	engines  = 20
	crashing = 3
	// contact is the bound contact_ms.
	contact = 3 * time.Second
	// otherClients send first turns of another agent all the time.
	otherClients = 16
	otherPath    = "/lohu930/7c"
	tries        = 10
	// longInput begins the input of the turns that take long.
	longInput = "long input"
)

// condemnedPath crashes the engines that run three turns of one agent. Later, turns of that agent
// come again.
func condemnedPath(d *kit.Deployment, trouble bool) (bool, string, error) {
	long, short := stream(12, 150*time.Millisecond), stream(12, 5*time.Millisecond)
	handler := func(w http.ResponseWriter, r *http.Request, body string) {
		if strings.HasPrefix(lastLine(body), longInput) {
			long(w, r, body)
			return
		}
		short(w, r, body)
	}
	byID := make(map[string]*kit.Engine)
	for i := range engines {
		e, err := d.AddEngine(fmt.Sprintf("i-7f3a9%02x", i), chatService, kit.Domains[i%len(kit.Domains)], 12, handler)
		if err != nil {
			return false, "", err
		}
		byID[e.ID] = e
	}
	putConfig(d, 7)
	s, err := start(d, 3)
	if err != nil {
		return false, "", err
	}
	// A program of the agent whose next turn comes later.
	entry := s.entries[0].Front
	if a := d.Do(entry, turnRequest("3fa81c", "t1", "", "first input")); !a.Whole() {
		return false, "", fmt.Errorf("the first turn failed: %v", a)
	}
	others := startOthers(d, s)
	defer others.stop()
	time.Sleep(2 * time.Second)

	// Three programs of the same agent, whose engines crash together.
	var programs sync.WaitGroup
	for i := range crashing {
		programs.Go(func() { playProgram(d, entry, i) })
	}
	time.Sleep(700 * time.Millisecond)
	running := make(map[string]bool)
	for _, run := range d.Runs() {
		if strings.HasPrefix(run.Body, longInput) {
			running[run.Engine] = true
		}
	}
	if len(running) != crashing {
		return false, "", fmt.Errorf("the turns run at %d engines in place of %d", len(running), crashing)
	}
	if trouble {
		for id := range running {
			byID[id].Crash()
		}
	}
	programs.Wait()
	time.Sleep(2*contact + 2*time.Second)

	sentBefore, servedBefore := others.count()
	reached := 0
	for i := range tries {
		id := fmt.Sprint("t2-", i)
		if a := d.Do(s.entries[i%len(s.entries)].Front, turnRequest("3fa81c", id, "t1", "second input")); a.Whole() {
			reached++
		}
		time.Sleep(300 * time.Millisecond)
	}
	sent, served := others.count()
	sent, served = sent-sentBefore, served-servedBefore
	seen := fmt.Sprintf("of %d tries of a turn that continues a kept one, %d reached an engine; meanwhile %d of %d first turns of the other agent did", tries, reached, served, sent)
	return reached == 0 && 10*served >= 9*sent, seen, nil
}

// playProgram sends the first turn of a program. A turn that has failed is sent again twice.
func playProgram(d *kit.Deployment, entry string, i int) {
	for n := range 3 {
		program := fmt.Sprint("crash", i)
		turn := turnRequest(program, fmt.Sprintf("c%d-%d", i, n), "", fmt.Sprint(longInput, " ", i))
		turn.Header["X-Rhubarbsaddle-Prefix-Hash"] = fmt.Sprintf("%08x:12600,%08x:410", 0x1000+i, 0x2000+i)
		if a := d.Do(entry, turn); a.Whole() {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// others are the clients of another agent.
type others struct {
	// sent counts the turns that have ended, served those of them that were answered whole.
	sent, served atomic.Int64
	ended        chan struct{}
	once         sync.Once
	clients      sync.WaitGroup
}

func startOthers(d *kit.Deployment, s *system) *others {
	o := &others{ended: make(chan struct{})}
	for i := range otherClients {
		o.clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-o.ended:
					return
				case <-time.After(50 * time.Millisecond):
				}
				turn := turnRequest(fmt.Sprintf("o%d-%d", i, n), fmt.Sprintf("o%d-%d-0", i, n), "", "other input")
				turn.Path = otherPath
				a := d.Do(s.entries[i%len(s.entries)].Front, turn)
				o.sent.Add(1)
				if a.Whole() {
					o.served.Add(1)
				}
			}
		})
	}
	return o
}

func (o *others) count() (sent, served int64) { return o.sent.Load(), o.served.Load() }

func (o *others) stop() {
	o.once.Do(func() { close(o.ended) })
	o.clients.Wait()
}
