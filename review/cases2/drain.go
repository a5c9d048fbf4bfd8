package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig2"
)

// rollingStops: the entries are stopped with SIGTERM and started again in turn.
func (s *scenario) rollingStops() (broken bool, err error) {
	for i := range 3 {
		if _, err := s.AddEngine(fmt.Sprintf("i-app-%d", i), "app", rig2.Zones[i%3], "", 12); err != nil {
			return false, err
		}
	}
	if err := s.begin(6); err != nil {
		return false, err
	}
	for i := range 30 {
		s.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-s.stop:
					return
				default:
				}
				e := s.entries[(i+n/20)%3]
				s.clients.Send(e, rig2.Request{Kind: "card", Path: "/card/77", Body: fmt.Sprintf("card %d %d", i, n), Deadline: 2 * time.Second})
				time.Sleep(time.Duration(i%10) * 7 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		for range 2 {
			for _, e := range s.entries {
				e.Signal(syscall.SIGTERM)
				if !e.Wait(8 * time.Second) {
					e.Kill()
				}
				time.Sleep(300 * time.Millisecond)
				if err := e.Start(false); err != nil {
					return false, err
				}
				time.Sleep(1300 * time.Millisecond)
			}
		}
	}
	close(s.stop)
	s.wg.Wait()
	ran := make(map[string]bool)
	for _, r := range s.Runs() {
		ran[r.ID] = true
	}
	lost, late, other := 0, 0, 0
	for _, a := range s.clients.Attempts() {
		if a.Opened && a.Err != "" && !(a.Status != 0 && a.Whole) {
			switch {
			case ran[a.ID]:
				lost++
				s.Record.Add("lost", "id", a.ID, "kind", a.Kind, "reused", a.Reused, "status", a.Status, "events", len(a.Events), "err", a.Err, "after", a.Ended.Sub(a.Sent))
			case a.Ended.Sub(a.Sent) > 200*time.Millisecond:
				late++
				s.Record.Add("late", "id", a.ID, "kind", a.Kind, "reused", a.Reused, "err", a.Err, "after", a.Ended.Sub(a.Sent))
			default:
				other++
			}
		}
	}
	fmt.Println("attempts", len(s.clients.Attempts()), "lost after being passed on", lost, "cut late", late, "crossed", other)
	return lost+late > 0, nil
}
