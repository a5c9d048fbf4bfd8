package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

const (
	resumedEvents = 12
	// brokenAfter is the number of events after which the client's connection is reset.
	brokenAfter = 5
)

// resumedTurn resets a client's connection in the middle of a turn that the system keeps. The
// client takes the stream up, and continues from the turn afterwards.
func resumedTurn(d *kit.Deployment, trouble bool) (bool, string, error) {
	for i, domain := range kit.Domains {
		if _, err := d.AddEngine(fmt.Sprint("i-7f3a91c", i), chatService, domain, 12, stream(resumedEvents, 60*time.Millisecond)); err != nil {
			return false, "", err
		}
	}
	putConfig(d, 7, true)
	s, err := start(d, 2)
	if err != nil {
		return false, "", err
	}
	const program, input = "3fa81c", "first input"
	turnID := "e5b2907c14da6f38"
	turn := turnRequest(program, turnID, "", input)
	if trouble {
		events, err := breakOff(d, s.entries[0].Front, turn)
		if err != nil {
			return false, "", err
		}
		turnID = "a07c55d1e20b9f44"
		turn = turnRequest(program, turnID, "", input)
		turn.Header["Last-Event-Id"] = events[len(events)-1].ID
		a := d.Do(s.entries[1].Front, turn)
		if !a.Whole() || len(events)+len(a.Events) != resumedEvents {
			return false, "", fmt.Errorf("the stream could not be taken up: %v", a)
		}
	} else if a := d.Do(s.entries[0].Front, turn); !a.Whole() || len(a.Events) != resumedEvents {
		return false, "", fmt.Errorf("the first turn failed: %v", a)
	}
	const nextID, nextInput = "c31b6a88d4f0e752", "second input"
	if a := d.Do(s.entries[0].Front, turnRequest(program, nextID, turnID, nextInput)); !a.Whole() {
		return false, "", fmt.Errorf("the second turn failed: %v", a)
	}
	want := input + strings.Join(eventsOf(input, resumedEvents), "\n") + "\n" + nextInput
	for _, run := range d.Runs() {
		if run.ID == nextID {
			d.Record("due:      %q", want)
			d.Record("received: %q", run.Body)
			return run.Body != want, fmt.Sprintf("the engine was due a prompt of %d bytes and got one of %d bytes", len(want), len(run.Body)), nil
		}
	}
	return false, "", fmt.Errorf("no engine ran the second turn")
}

// breakOff sends a turn through a proxy that resets both connections after some events, and
// returns the events that the client has got.
func breakOff(d *kit.Deployment, addr string, turn *kit.Request) ([]kit.Event, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := d.Send(conn, turn); err != nil {
		return nil, err
	}
	var events []kit.Event
	in := bufio.NewReader(conn)
	if err := conn.SetReadDeadline(time.Now().Add(turn.Deadline)); err != nil {
		return nil, err
	}
	id := ""
	for len(events) < brokenAfter {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			events = append(events, kit.Event{ID: id, Data: value})
		}
	}
	// With this setting the connection is reset and not closed in order.
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		return nil, err
	}
	d.Record("the connection of %s is reset after event %s", turn.ID, id)
	return events, conn.Close()
}
