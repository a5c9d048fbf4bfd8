package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig2"
)

const (
	// agentPath is the path of the turns of one agent, otherPath that of another one's.
	agentPath = "/haggle/agent"
	otherPath = "/haggle/other"
	// crashGap is the time from one crash to the next.
	crashGap = 60 * time.Millisecond
	// contact is contact_ms of the deployment.
	contact = 3 * time.Second
	// tries is how often the kept turn is continued.
	tries = 10
)

func (s *scenario) turnAt(path, program, previous, input string) *rig2.Attempt {
	entry := s.entries[int(s.next.Add(1))%len(s.entries)]
	return s.clients.Send(entry, rig2.Request{Kind: "haggle", Path: path, Body: input, Program: program, Budget: 1 << 20, Previous: previous, Deadline: 4 * time.Second, Fresh: true})
}

// crashesInTurn: three of twenty engines crash, one shortly after the other, each while it runs a
// turn of the same agent. Later a program of that agent continues a kept turn.
func (s *scenario) crashesInTurn() (broken bool, err error) {
	engines := make(map[string]*rig2.Engine)
	for i := range 14 {
		e, err := s.AddEngine(fmt.Sprintf("i-more-%d", i), "llm", rig2.Zones[i%3], "", 12)
		if err != nil {
			return false, err
		}
		engines[e.ID] = e
	}
	if err := s.begin(0); err != nil {
		return false, err
	}
	for id, e := range s.Engines() {
		engines[id] = e
	}
	first := s.turnAt(agentPath, "kept", "", "begin\n")
	if first.Status != 200 || !first.Whole {
		return false, fmt.Errorf("the first turn was answered %d", first.Status)
	}
	s.clients.AddTurn(first, "")
	var isJudging atomic.Bool
	var mu sync.Mutex
	others := make(map[string]bool)
	for i := range 8 {
		s.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-s.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				judged := isJudging.Load()
				a := s.turnAt(otherPath, fmt.Sprintf("other-%d-%d", i, n), "", fmt.Sprintf("other %d %d\n", i, n))
				if judged {
					mu.Lock()
					others[a.ID] = true
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	// Long turns of the agent, until three engines run one. A turn that has failed is sent again after
	// 0.1 to 0.4 s, at most twice.
	var hit []string
	for i := 0; len(hit) < 3; i++ {
		if i == 8 {
			return false, fmt.Errorf("the long turns run at %v, not at three engines", hit)
		}
		s.wg.Go(func() {
			for range 3 {
				a := s.turnAt(agentPath, fmt.Sprintf("long-%d", i), "", fmt.Sprintf("%s turn %d of the agent\n", rig2.LongMark, i))
				if a.Status == 200 && a.Whole {
					return
				}
				time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
			}
		})
		time.Sleep(100 * time.Millisecond)
		hit = hit[:0]
		for _, r := range s.Runs() {
			if r.Path == agentPath && r.ID != first.ID && !slices.Contains(hit, r.Engine) {
				hit = append(hit, r.Engine)
			}
		}
	}
	if s.trouble {
		for _, id := range hit {
			s.Record.Add("crash", "engine", id)
			engines[id].Stop()
			time.Sleep(crashGap)
		}
		// Three heartbeats of 1.2 s.
		time.Sleep(3600 * time.Millisecond)
		for _, id := range hit {
			engines[id].Expire()
		}
	}
	time.Sleep(contact + 2*time.Second)
	isJudging.Store(true)
	var continued []string
	statuses := make(map[string]int)
	for i := range tries {
		a := s.turnAt(agentPath, "kept", first.ID, fmt.Sprintf("go on %d\n", i))
		continued = append(continued, a.ID)
		statuses[fmt.Sprintf("%d %.16q", a.Status, a.Answer)]++
		time.Sleep(time.Second)
	}
	close(s.stop)
	s.wg.Wait()
	ran := make(map[string]bool)
	for _, r := range s.Runs() {
		ran[r.ID] = true
	}
	reached, served := 0, 0
	for _, id := range continued {
		if ran[id] {
			reached++
		}
	}
	for id := range others {
		if ran[id] {
			served++
		}
	}
	text := fmt.Sprintf("from %v after the last crash on: %d of %d turns that continue the kept one reached an engine (%v), and %d of %d first turns of the other agent", contact+2*time.Second, reached, len(continued), statuses, served, len(others))
	fmt.Println(text)
	s.Record.Add("judged", "what", text)
	if len(others) < 50 || served*10 < len(others)*9 {
		return false, errors.New("too few first turns were served")
	}
	return reached == 0, nil
}
