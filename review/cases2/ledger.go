package main

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig2"
)

// viewKey is the key under which the members keep their view in the platform's store.
const viewKey = "rhubarbsaddle/ledger/view"

const (
	// darkTime and storeDown are inside the limits of the site file: for_s 2.0 of after_ack_wipe and
	// for_s 4.5 of platform_down.
	darkTime  = 1900 * time.Millisecond
	storeDown = 4400 * time.Millisecond
)

// loseDisk is a loss of power with the disk: the process is killed, its data removed, and it is
// started again with bootstrap false, darkTime after the kill.
func (s *scenario) loseDisk(n *rig2.Node) error {
	killed := time.Now()
	n.Kill()
	if err := n.Wipe(); err != nil {
		return err
	}
	time.Sleep(time.Until(killed.Add(darkTime)))
	err := n.Start(false)
	s.Record.Add("disk lost", "node", n.Name, "dark for", time.Since(killed).Round(time.Millisecond))
	return err
}

// diskLossWhileMemberIsAdded: one of three store machines is retired, and removed once the system
// says that it is empty. Later another one is added. While it copies, one of the first three loses
// its disk.
func (s *scenario) diskLossWhileMemberIsAdded() (broken bool, err error) {
	if err := s.begin(24); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	retired := s.ledgers[0]
	s.Store.Put("op/retire/"+retired.Name, []byte(`{"duration_s":8.9}`))
	s.Record.Add("retire", "node", retired.Name)
	if !await(9*time.Second, func() bool {
		return strings.Contains(string(s.Store.Value("status/retire/"+retired.Name)), "completed")
	}) {
		return false, errors.New("the retirement was not completed")
	}
	s.Record.Add("retired", "node", retired.Name)
	retired.Kill()
	if err := retired.Wipe(); err != nil {
		return false, err
	}
	time.Sleep(20 * time.Second)
	added := s.AddNode("ledger", rig2.Zones[0])
	if err := added.Start(false); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return strings.Contains(string(s.Store.Value(viewKey)), added.Name) }) {
		return false, errors.New("the added machine did not get a seat")
	}
	s.Record.Add("seated", "node", added.Name)
	if s.trouble {
		time.Sleep(100 * time.Millisecond)
		if err := s.loseDisk(s.ledgers[1]); err != nil {
			return false, err
		}
	}
	return s.judge()
}

// diskLossAfterStopWithoutStore: while the platform's store is down, a store machine is stopped
// with SIGTERM and started again. Before it is back, another one loses its disk.
func (s *scenario) diskLossAfterStopWithoutStore() (broken bool, err error) {
	if err := s.begin(12); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	stopped, wiped := s.ledgers[2], s.ledgers[0]
	began := time.Now()
	if s.trouble {
		s.Store.SetDown(true)
		s.Record.Add("store", "is", "down")
	}
	time.Sleep(500 * time.Millisecond)
	stopped.Signal(syscall.SIGTERM)
	if !stopped.Wait(8 * time.Second) {
		stopped.Kill()
	}
	failed := make(chan error, 1)
	go func() {
		if !s.trouble {
			failed <- nil
			return
		}
		failed <- s.loseDisk(wiped)
	}()
	time.Sleep(time.Second)
	if err := stopped.Start(false); err != nil {
		return false, err
	}
	if err := <-failed; err != nil {
		return false, err
	}
	if s.trouble {
		time.Sleep(time.Until(began.Add(storeDown)))
		s.Store.SetDown(false)
		s.Record.Add("store", "is", fmt.Sprintf("up after %.3f s", time.Since(began).Seconds()))
	}
	return s.judge()
}

// diskLossAfterPlannedRestart: a store machine is stopped with SIGTERM and started again. When the
// platform's store has its seat again, another one loses its disk.
func (s *scenario) diskLossAfterPlannedRestart() (broken bool, err error) {
	if err := s.begin(12); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	stopped := s.ledgers[2]
	hasSeat := func() bool { return strings.Contains(string(s.Store.Value(viewKey)), stopped.Name) }
	stopped.Signal(syscall.SIGTERM)
	if !stopped.Wait(8 * time.Second) {
		stopped.Kill()
	}
	if hasSeat() {
		return false, errors.New("the stopped machine has kept its seat")
	}
	time.Sleep(time.Second)
	if err := stopped.Start(false); err != nil {
		return false, err
	}
	if !await(10*time.Second, hasSeat) {
		return false, errors.New("the machine did not get a seat again")
	}
	s.Record.Add("seated", "node", stopped.Name)
	if s.trouble {
		time.Sleep(50 * time.Millisecond)
		if err := s.loseDisk(s.ledgers[0]); err != nil {
			return false, err
		}
	}
	return s.judge()
}
