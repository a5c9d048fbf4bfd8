package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

const (
	// catchUp is the bound catch_up_s, after which a machine that started or came back is no
	// longer lost, and recoverTime the bound recover_s.
	catchUp     = 4900 * time.Millisecond
	recoverTime = 12 * time.Second
	// observed is how long requests are sent and counted after recoverTime.
	observed = 25 * time.Second
)

// replacedMember replaces a ledger machine by another one as planned, and then the disk of one of
// the others is lost.
func replacedMember(d *kit.Deployment, trouble bool) (bool, string, error) {
	for i, domain := range kit.Domains {
		if _, err := d.AddEngine(fmt.Sprint("i-7f3a91c", i), chatService, domain, 12, stream(12, 10*time.Millisecond)); err != nil {
			return false, "", err
		}
	}
	putConfig(d, 7)
	s, err := start(d, 3)
	if err != nil {
		return false, "", err
	}
	traffic := startTraffic(d, s)
	defer traffic.stop()
	time.Sleep(5 * time.Second)

	// The successor comes first, then the machine that it replaces gets SIGTERM.
	successor, err := d.Add("ledger", kit.Domains[2])
	if err != nil {
		return false, "", err
	}
	if err := successor.Start(false); err != nil {
		return false, "", err
	}
	time.Sleep(catchUp + time.Second)
	replaced := s.members[2]
	d.Record("%s gets SIGTERM and is removed", replaced.Name)
	replaced.Signal(syscall.SIGTERM)
	replaced.Wait()
	time.Sleep(catchUp + 500*time.Millisecond)

	// The final fault comes right after a change of the configuration.
	putConfig(d, 9)
	lost := s.members[0]
	lost.Signal(syscall.SIGKILL)
	lost.Wait()
	if trouble {
		if err := lost.Wipe(); err != nil {
			return false, "", err
		}
	}
	time.Sleep(time.Second)
	if err := lost.Start(false); err != nil {
		return false, "", err
	}
	back := time.Now()
	time.Sleep(recoverTime + observed)
	traffic.stop()
	before, servedBefore := traffic.count(time.Time{}, back.Add(-time.Second))
	after, servedAfter := traffic.count(back.Add(recoverTime), time.Now())
	seen := fmt.Sprintf("before the fault %d of %d turns were served; later than recover_s after the machine was back, %d of %d", servedBefore, before, servedAfter, after)
	if before == 0 || 4*servedBefore < before {
		return false, "", fmt.Errorf("the deployment did not serve: %s", seen)
	}
	return 4*servedAfter < after, seen, nil
}

// traffic sends programs of turns that the system keeps.
type traffic struct {
	mu       sync.Mutex
	sentAt   []time.Time
	served   []bool
	ended    chan struct{}
	once     sync.Once
	programs sync.WaitGroup
}

// startTraffic starts a client at each entry. Each begins one program after the other.
func startTraffic(d *kit.Deployment, s *system) *traffic {
	t := &traffic{ended: make(chan struct{})}
	for i, entry := range s.entries {
		t.programs.Go(func() {
			for n := 0; ; n++ {
				if !t.program(d, entry, fmt.Sprintf("p%d-%d", i, n)) {
					return
				}
			}
		})
	}
	return t
}

// program sends three turns, each of which continues the one before. It returns false once the
// traffic has ended.
func (t *traffic) program(d *kit.Deployment, entry *kit.Machine, name string) bool {
	previous := ""
	for n := range 3 {
		select {
		case <-t.ended:
			return false
		case <-time.After(150 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		sentAt := time.Now()
		a := d.Do(entry.Front, turnRequest(name, id, previous, "input of "+id))
		t.mu.Lock()
		t.sentAt, t.served = append(t.sentAt, sentAt), append(t.served, a.Whole())
		t.mu.Unlock()
		if !a.Whole() {
			return true
		}
		previous = id
	}
	return true
}

// count returns how many turns were sent in a span of time, and how many of them were served.
func (t *traffic) count(from, to time.Time) (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, at := range t.sentAt {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		sent++
		if t.served[i] {
			served++
		}
	}
	return sent, served
}

func (t *traffic) stop() {
	t.once.Do(func() { close(t.ended) })
	t.programs.Wait()
}
