package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig2"
)

// residentBytes returns the memory that a process holds, 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// reusedIDs: a client sends a turn x, then y that continues x, then a turn of another program with
// the id x again, which continues y.
func (s *scenario) reusedIDs() (broken bool, err error) {
	if err := s.begin(4); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	send := func(id, program, previous string) *rig2.Attempt {
		return s.clients.Send(s.entries[0], rig2.Request{Kind: "haggle", Path: "/haggle/4b", Body: "input\n", ID: id, Program: program, Budget: 1 << 20, Previous: previous, Deadline: 4 * time.Second, Fresh: true})
	}
	x := s.clients.NewID()
	y := send("", "one", send(x, "one", "").ID).ID
	if s.trouble {
		a := send(x, "two", y)
		fmt.Println("third turn", a.Status, a.Whole, a.Answer)
	}
	go func() {
		a := send("", "one", y)
		fmt.Println("fourth turn", a.Status, a.Whole, a.Answer)
	}()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, n := range s.ledgers {
			if b := residentBytes(n.PID()); b > int64(n.MemoryMB)*1_000_000 {
				fmt.Println(n.Name, "holds", b)
				n.Kill()
				broken = true
			}
		}
	}
	return broken, nil
}
