package main

import (
	"fmt"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

// expiredChain continues a conversation under the id of another program.
func expiredChain(d *kit.Deployment, trouble bool) (bool, string, error) {
	for i, domain := range kit.Domains {
		if _, err := d.AddEngine(fmt.Sprint("i-7f3a91c", i), chatService, domain, 12, stream(12, 10*time.Millisecond)); err != nil {
			return false, "", err
		}
	}
	putConfig(d, 7, false)
	s, err := start(d, 2)
	if err != nil {
		return false, "", err
	}
	entry := s.entries[0].Front
	const program = "3fa81c"
	if a := d.Do(entry, turnRequest(program, "t1", "", "first input")); !a.Whole() {
		return false, "", fmt.Errorf("the first turn failed: %v", a)
	}
	time.Sleep(50 * time.Second)
	next := program
	if trouble {
		next = "91d0e7"
	}
	if a := d.Do(entry, turnRequest(next, "t2", "t1", "second input")); !a.Whole() {
		return false, "", fmt.Errorf("the second turn failed: %v", a)
	}
	time.Sleep(35 * time.Second)
	reached, firstTurns := 0, 0
	const tries = 8
	for i := range tries {
		id := fmt.Sprint("t3-", i)
		if a := d.Do(s.entries[i%2].Front, turnRequest(next, id, "t2", "third input")); a.Whole() {
			reached++
		}
		if a := d.Do(s.entries[i%2].Front, turnRequest(fmt.Sprint("new", i), fmt.Sprint("n-", i), "", "new input")); a.Whole() {
			firstTurns++
		}
		time.Sleep(300 * time.Millisecond)
	}
	seen := fmt.Sprintf("35 s after a turn was answered whole, %d of %d turns that continue it reached an engine, and %d of %d first turns", reached, tries, firstTurns, tries)
	return reached == 0 && 10*firstTurns >= 9*tries, seen, nil
}
