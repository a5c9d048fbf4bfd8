package main

import (
	"fmt"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig2"
)

// largestBodies: single requests whose bodies have the size of max_body_bytes, with a length and in
// chunks, one at a time.
func (s *scenario) largestBodies() (broken bool, err error) {
	if _, err := s.AddEngine("i-app", "app", rig2.Zones[0], "", 12); err != nil {
		return false, err
	}
	if err := s.begin(0); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	const size = 4 << 20
	body := make([]byte, size)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	var largest int64
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
				largest = max(largest, residentBytes(s.entries[0].PID()))
			}
		}
	}()
	previous := ""
	for _, kind := range []string{"card", "haggle", "haggle", "haggle"} {
		for _, chunked := range []bool{false, true} {
			q := rig2.Request{Kind: kind, Path: "/" + kind + "/4b", Body: string(body), Deadline: 4 * time.Second, Fresh: true, Chunked: chunked}
			if kind == "haggle" {
				q.Program, q.Budget, q.Previous = "large", 1<<20, previous
			}
			a := s.clients.Send(s.entries[0], q)
			if kind == "haggle" && a.Status == 200 && a.Whole {
				s.clients.AddTurn(a, previous)
				previous = a.ID
			}
			fmt.Println(kind, "chunked", chunked, "answered", a.Status, a.Whole, a.Answer[:min(30, len(a.Answer))], a.Err, a.Ended.Sub(a.Sent))
			broken = broken || a.Status != 200 && a.Status != 413
		}
	}
	close(stop)
	fmt.Println("entry held", largest/1_000_000, "MB")
	return broken, nil
}
