package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

const (
	// otherEntries are the entries in the store of engines of another service. A range has about
	// 500 items a page.
	otherEntries = 2400
	// startPeriod is the time between the starts of further ones.
	startPeriod = 100 * time.Millisecond
	// slowFactor is the dose of platform_slow, slowTime how long it lasts.
	slowFactor = 60
	slowTime   = 4500 * time.Millisecond
	// configDelay is the time from the loss of the history to the new configuration.
	configDelay = 400 * time.Millisecond
	// configApply and maxStretch are the bounds config_apply_ms and max_stretch_ms.
	configApply = 2 * time.Second
	maxStretch  = 5 * time.Second
	checks      = 30
)

// missedConfig has a slow store that drops its history, and a new configuration shortly after.
func missedConfig(d *kit.Deployment, trouble bool) (bool, string, error) {
	front, err := d.AddStoreFront()
	if err != nil {
		return false, "", err
	}
	for i := range otherEntries {
		putEntry(d, i)
	}
	ok := func(w http.ResponseWriter, _ *http.Request, _ string) { _, _ = fmt.Fprint(w, "ok") }
	if _, err := d.AddEngine("i-02d9e6b4", plainServer, kit.Domains[0], 6, ok); err != nil {
		return false, "", err
	}
	putConfig(d, 7)
	s, err := start(d, 3)
	if err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	go startEngines(d, stop)
	began := time.Now()
	if trouble {
		front.SetSlow(slowFactor)
		time.Sleep(time.Second)
		front.Compact(time.Second, func() { putConfig(d, 8) })
	}
	time.Sleep(configDelay)
	// This version adds a route. The one before has none that matches its requests.
	putConfigWith(d, 9, "/nova555/")
	written := time.Now()
	time.Sleep(time.Until(began.Add(slowTime)))
	if trouble {
		front.SetSlow(1)
	}
	time.Sleep(contact + configApply + maxStretch)
	stale, served := 0, 0
	for i := range checks {
		a := d.Do(s.entries[i%len(s.entries)].Front, &kit.Request{Method: http.MethodPost, Host: host, Path: "/nova555/2f", ID: fmt.Sprint("n", i), Body: "x", Deadline: 3 * time.Second})
		switch {
		case a.Status == http.StatusNotFound:
			stale++
		case a.Whole():
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return stale > 0, fmt.Sprintf("from %v after the acknowledgement of a version that adds a route, %d of %d requests on it got 404 and %d were served", time.Since(written).Round(time.Second), stale, checks, served), nil
}

// startEngines registers further engines, one after the other.
func startEngines(d *kit.Deployment, stop chan struct{}) {
	for i := otherEntries; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(startPeriod):
			putEntry(d, i)
		}
	}
}

func putEntry(d *kit.Deployment, i int) {
	d.Store.Put(fmt.Sprintf("servers/h-%05d", i), fmt.Appendf(nil,
		`{"service":"mexu77c","address":"127.0.0.1:%d","zone":"milano-a","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"call_count":0}`, 20000+i))
}
