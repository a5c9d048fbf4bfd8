// Command cases2 plays the scripts of the second review against the programs of the deploy file.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig2"
)

// recoverTime is recover_s of the deployment, catchUp its catch_up_s, retention retention_s of its
// routes.
const (
	recoverTime = 12 * time.Second
	catchUp     = 4900 * time.Millisecond
	retention   = 60 * time.Second
	window      = 4 * time.Second
	events      = 10
)

type scenario struct {
	*rig2.Rig
	clients          *rig2.Clients
	trouble          bool
	entries, ledgers []*rig2.Node
	stop             chan struct{}
	wg               sync.WaitGroup
	mu               sync.Mutex
	// tips are the last whole turns of programs.
	tips []string
	next atomic.Int64
}

func main() {
	name := flag.String("case", "", "")
	record := flag.String("record", "record.txt", "")
	flag.Parse()
	os.Exit(run(*name, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, record string, trouble bool) int {
	rig, err := rig2.New(record)
	if err != nil {
		fmt.Println("couldn't run:", err)
		return 2
	}
	defer rig.Close()
	s := &scenario{Rig: rig, clients: rig2.NewClients(rig), trouble: trouble, stop: make(chan struct{})}
	play := map[string]func(*scenario) (bool, error){"add": (*scenario).diskLossWhileMemberIsAdded, "leave": (*scenario).diskLossAfterStopWithoutStore, "cycle": (*scenario).reusedIDs, "drain": (*scenario).rollingStops, "restart": (*scenario).diskLossAfterPlannedRestart, "crashes": (*scenario).crashesInTurn, "calm": (*scenario).largestBodies}[name]
	if play == nil {
		fmt.Println("no such case")
		return 2
	}
	broken, err := play(s)
	if err != nil {
		fmt.Println("couldn't run:", err)
		rig.Record.Add("couldn't run", "error", err)
		return 2
	}
	for _, f := range s.clients.Check(events) {
		fmt.Println("also seen:", f.Rule, f.Text)
	}
	if broken {
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// begin starts three ledger members, an entry in each zone, engines, and traffic.
func (s *scenario) begin(programs int) error {
	for i := range 6 {
		e, err := s.AddEngine(fmt.Sprintf("i-llm-%d", i), "llm", rig2.Zones[i%3], "", 12)
		if err != nil {
			return err
		}
		e.First, e.Gap = 20*time.Millisecond, 2*time.Millisecond
	}
	s.Config(rig2.Routes)
	for _, zone := range rig2.Zones {
		s.ledgers = append(s.ledgers, s.AddNode("ledger", zone))
	}
	for _, zone := range rig2.Zones {
		s.entries = append(s.entries, s.AddNode("entry", zone))
	}
	if err := s.StartAll(); err != nil {
		return err
	}
	end := time.Now().Add(10 * time.Second)
	for a := s.turn("warm-up", "", "hello\n"); a.Status != 200 || !a.Whole; a = s.turn("warm-up", "", "hello\n") {
		if time.Now().After(end) {
			return fmt.Errorf("no turn is served: %d %s", a.Status, a.Answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i := range programs {
		s.wg.Go(func() { s.programs(i) })
	}
	return nil
}

// turn sends one turn of a program on a new connection, as a client of any zone does.
func (s *scenario) turn(program, previous, input string) *rig2.Attempt {
	entry := s.entries[int(s.next.Add(1))%len(s.entries)]
	return s.clients.Send(entry, rig2.Request{Kind: "haggle", Path: "/haggle/4b", Body: input, Program: program, Budget: 1 << 20, Previous: previous, Deadline: 4 * time.Second, Fresh: true})
}

// programs runs programs of five turns, one after the other, until the traffic stops. A turn that
// has failed is sent again after 0.25 s, at most twice.
func (s *scenario) programs(number int) {
	for n := 0; ; n++ {
		program := fmt.Sprintf("p%d-%d", number, n)
		previous := ""
		for i := range 5 {
			input := fmt.Sprintf("turn %d of %s %s\n", i, program, pad)
			var a *rig2.Attempt
			for try := 0; try < 3; try++ {
				select {
				case <-s.stop:
					return
				default:
				}
				if a = s.turn(program, previous, input); a.Status == 200 && a.Whole {
					break
				}
				time.Sleep(250 * time.Millisecond)
			}
			if a.Status != 200 || !a.Whole {
				break
			}
			s.clients.AddTurn(a, previous)
			previous = a.ID
			time.Sleep(20 * time.Millisecond)
		}
		if previous != "" {
			s.mu.Lock()
			s.tips = append(s.tips, previous)
			s.mu.Unlock()
		}
	}
}

// pad makes the input of a turn about 17,000 bytes long.
var pad = func() string {
	b := make([]byte, 17000)
	for i := range b {
		b[i] = 'a' + byte(i%26)
	}
	return string(b)
}()

// judge waits for catch_up_s and recover_s from now, when all machines are back, and then counts for
// 4 s which turns reach an engine. The rule is broken if no turn does that continues a kept one, while
// the engines are under half full.
func (s *scenario) judge() (broken bool, err error) {
	s.Record.Add("back", "what", "all machines are back")
	time.Sleep(catchUp + recoverTime)
	close(s.stop)
	s.wg.Wait()
	s.mu.Lock()
	tips := append([]string(nil), s.tips...)
	s.mu.Unlock()
	if len(tips) < 16 {
		return false, fmt.Errorf("only %d programs were served before the disruption", len(tips))
	}
	end := time.Now().Add(window)
	continued, first := 0, 0
	var continuedIDs, firstIDs []string
	var wg sync.WaitGroup
	var fullest float64
	wg.Go(func() {
		for time.Now().Before(end) {
			fullest = max(fullest, s.EngineLoad())
			time.Sleep(5 * time.Millisecond)
		}
	})
	for i := range 16 {
		tip := tips[len(tips)-1-i%len(tips)]
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				// The turn was kept less than retention_s before, also when the request ends.
				if t := s.clients.Turns[tip]; time.Since(t.At) < retention-5*time.Second {
					a := s.turn(fmt.Sprintf("after-%d-%d", i, n), tip, "go on\n")
					s.mu.Lock()
					continuedIDs = append(continuedIDs, a.ID)
					s.mu.Unlock()
				}
				a := s.turn(fmt.Sprintf("new-%d-%d", i, n), "", "begin\n")
				s.mu.Lock()
				firstIDs = append(firstIDs, a.ID)
				s.mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	ran := make(map[string]bool)
	for _, r := range s.Runs() {
		ran[r.ID] = true
	}
	for _, id := range continuedIDs {
		if ran[id] {
			continued++
		}
	}
	for _, id := range firstIDs {
		if ran[id] {
			first++
		}
	}
	statuses := make(map[string]int)
	for _, a := range s.clients.Attempts() {
		if time.Since(a.Sent) < window+4*time.Second && (a.Program[:3] == "aft" || a.Program[:3] == "new") {
			statuses[fmt.Sprintf("%d", a.Status)]++
		}
	}
	text := fmt.Sprintf("in 4 s, more than %v after all machines were back: %d of %d turns that continue kept ones reached an engine, and %d of %d first turns; answers by status: %v; %.0f%% of the engines' slots were taken at most", catchUp+recoverTime, continued, len(continuedIDs), first, len(firstIDs), statuses, 100*fullest)
	fmt.Println(text)
	s.Record.Add("judged", "what", text)
	return len(continuedIDs) >= 16 && continued == 0 && fullest < 0.5, nil
}

// await waits for a condition.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
