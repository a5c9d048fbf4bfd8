// Command soak2 plays random disruptions against real processes. It is a tool of the second review.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig2"
)

func main() {
	record := flag.String("record", "/tmp/soak2.txt", "")
	seconds := flag.Int("seconds", 60, "")
	seed := flag.Uint64("seed", 1, "")
	clients := flag.Int("clients", 24, "")
	entryFaults := flag.Bool("entries", true, "")
	ledgerFaults := flag.Bool("ledger", true, "")
	storeFaults := flag.Bool("store", true, "")
	members := flag.Int("members", 3, "")
	versions := flag.Bool("versions", false, "")
	membership := flag.Bool("membership", false, "")
	changes := flag.Bool("changes", false, "")
	engineFaults := flag.Bool("engines", true, "")
	flag.Parse()
	r, err := rig2.New(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer r.Close()
	random := rand.New(rand.NewPCG(*seed, 0))
	var mu sync.Mutex
	chance := func(p float64) bool { mu.Lock(); defer mu.Unlock(); return random.Float64() < p }
	pick := func(n int) int { mu.Lock(); defer mu.Unlock(); return random.IntN(n) }
	kinds := []string{"lost", "fin", "cut", "rubbish", "extra", "late", "error", "late", "extra"}
	streamKinds := []string{"cut", "stall", "mute", "error", "lost"}
	fault := func(req *http.Request) string {
		if !*engineFaults || !chance(faultShare) {
			return ""
		}
		if len(req.URL.Path) > 7 && (req.URL.Path[:7] == "/haggle" || req.URL.Path[:7] == "/draft/") {
			return streamKinds[pick(len(streamKinds))]
		}
		return kinds[pick(len(kinds))]
	}
	if *versions {
		faultShare = 0.3
	}
	number := 0
	add := func(service, zone string) *rig2.Engine {
		number++
		version := "1"
		if *versions && number%4 >= 2 {
			version = "2"
		}
		e, err := r.AddEngineOf(version, fmt.Sprintf("i-%s-%d", service, number), service, zone, "", 12)
		if err != nil {
			fmt.Println(err)
			os.Exit(2)
		}
		e.Fault = fault
		return e
	}
	var engines []*rig2.Engine
	for i := range 6 {
		engines = append(engines, add("llm", rig2.Zones[i%3]), add("app", rig2.Zones[i%3]))
	}
	r.Config(rig2.Routes)
	for i := range *members {
		r.AddNode("ledger", rig2.Zones[i%3])
	}
	for _, zone := range rig2.Zones {
		r.AddNode("entry", zone)
	}
	if err := r.StartAll(); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	c := rig2.NewClients(r)
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	var wg sync.WaitGroup
	entries := r.Nodes("entry")
	for range *clients {
		wg.Go(func() {
			for time.Now().Before(end) {
				program(c, entries, pick, chance, end)
			}
		})
	}
	ledgers := r.Nodes("ledger")
	stop := time.Now().Add(time.Duration(*seconds-12) * time.Second)
	if *ledgerFaults {
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(2000+pick(3000)) * time.Millisecond)
				n := ledgers[pick(len(ledgers))]
				switch pick(5) {
				case 0:
					n.Kill()
					time.Sleep(time.Duration(pick(2500)) * time.Millisecond)
					must(n.Start(false))
				case 1:
					n.Signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(500+pick(2700)) * time.Millisecond)
					n.Signal(syscall.SIGCONT)
				case 2:
					n.Terminate()
					must(n.Start(false))
				case 3, 4:
					n.Kill()
					must(n.Wipe())
					time.Sleep(time.Duration(300+pick(1700)) * time.Millisecond)
					must(n.Start(false))
					time.Sleep(5 * time.Second)
				}
			}
		})
	}
	if *membership {
		if *changes {
			wg.Go(func() { membershipChanges(r, pick, stop) })
		} else {
			wg.Go(func() { membershipFaults(ledgers, pick, stop) })
		}
	}
	if *entryFaults {
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(2000+pick(3000)) * time.Millisecond)
				n := entries[pick(3)]
				switch pick(4) {
				case 0:
					n.Kill()
					time.Sleep(time.Duration(pick(2500)) * time.Millisecond)
					must(n.Start(false))
				case 1:
					n.Signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(500+pick(2700)) * time.Millisecond)
					n.Signal(syscall.SIGCONT)
				case 2:
					n.Terminate()
					must(n.Start(false))
				case 3:
					n.Signal(syscall.SIGHUP)
				}
			}
		})
	}
	if *storeFaults {
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(3000+pick(4000)) * time.Millisecond)
				switch pick(5) {
				case 0:
					r.Store.SetDown(true)
					time.Sleep(time.Duration(500+pick(4000)) * time.Millisecond)
					r.Store.SetDown(false)
				case 1:
					r.Store.SetHung(true)
					time.Sleep(time.Duration(500+pick(4000)) * time.Millisecond)
					r.Store.SetHung(false)
				case 2:
					r.Store.LoseResponses(1 + pick(3))
				case 3:
					r.Store.CompactHistory()
				case 4:
					r.Config(rig2.Routes)
				}
			}
		})
	}
	if *engineFaults {
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(1500+pick(3000)) * time.Millisecond)
				i := pick(len(engines))
				old := engines[i]
				switch pick(3) {
				case 0:
					old.Stop()
					time.Sleep(time.Duration(300+pick(2000)) * time.Millisecond)
					e, err := r.AddEngineOf(old.Version, old.ID, old.Service, old.Zone, old.Addr, 12)
					if err == nil {
						e.Fault = fault
						engines[i] = e
					}
				case 1:
					engines[i] = add(old.Service, old.Zone)
					go old.Drain(2500 * time.Millisecond)
				case 2:
					old.Stop()
					go func() { time.Sleep(2500 * time.Millisecond); old.Expire() }()
					engines[i] = add(old.Service, old.Zone)
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	if *membership {
		time.Sleep(11 * time.Second)
		ok, bad := 0, map[int]int{}
		n := 0
		for id, t := range c.Turns {
			if time.Since(t.At) > 50*time.Second || n >= 300 {
				continue
			}
			n++
			a := c.Send(entries[n%3], rig2.Request{Kind: "haggle", Path: "/haggle/4b", Body: "again", Program: "z" + id, Budget: 100000, Previous: id, Deadline: 4 * time.Second, Fresh: true})
			if a.Status == 200 && a.Whole {
				ok++
			} else {
				bad[a.Status]++
				if bad[503] > 20 {
					break
				}
			}
		}
		fmt.Println("END kept turns served", ok, "others", bad)
		if ok == 0 {
			fmt.Println("STUCK")
			os.Setenv("KEEP", "1")
			fmt.Println("kept", r.Dir)
		}
	}
	statuses := map[string]int{}
	for _, a := range c.Attempts() {
		kind := a.Kind
		if a.Resumes != "" {
			kind += " taken up"
		}
		statuses[fmt.Sprintf("%s %d whole=%v", kind, a.Status, a.Whole)]++
	}
	fmt.Println(statuses)
	found := c.Check(10)
	for i, f := range found {
		if i < 30 {
			fmt.Println("BROKEN", f.Rule, f.Text)
		}
	}
	fmt.Println("seed", *seed, "findings", len(found), "attempts", len(c.Attempts()), "runs", len(r.Runs()))
	if len(found) > 0 {
		os.Setenv("KEEP", "1")
		fmt.Println("kept", r.Dir)
	}
}

// faultShare is the share of the requests whose answers engines spoil.
var faultShare = 0.04

func must(err error) {
	if err != nil {
		fmt.Println(err)
	}
}

func program(c *rig2.Clients, entries []*rig2.Node, pick func(int) int, chance func(float64) bool, end time.Time) {
	id := "p" + c.NewID()
	previous := ""
	kept := chance(0.6)
	for turn := range 3 + pick(6) {
		if time.Now().After(end) {
			return
		}
		kind := "draft"
		if kept {
			kind = "haggle"
		}
		input := fmt.Sprintf("input %d of %s\n", turn, id)
		ok := false
		for try := 0; try < 3 && !ok; try++ {
			q := rig2.Request{Kind: kind, Path: "/" + kind + "/4b", Body: input, Program: id, Budget: 220 * 30, Deadline: 4 * time.Second, Fresh: try > 0}
			if kept {
				q.Previous = previous
			}
			a := c.Send(entries[pick(len(entries))], q)
			if !kept && !a.Whole && len(a.Events) > 0 && a.Status == 200 {
				q.From, q.Resumes, q.Fresh = a.Events[len(a.Events)-1].ID, a.ID, true
				a = c.Send(entries[pick(len(entries))], q)
			}
			if a.Status == 200 && a.Whole {
				ok = true
				if kept {
					c.AddTurn(a, previous)
					previous = a.ID
				}
				break
			}
			if a.Status == 402 || a.Status == 404 {
				return
			}
			time.Sleep(a.RetryAfter + time.Duration(100+pick(300))*time.Millisecond)
		}
		if !ok {
			return
		}
		var wg sync.WaitGroup
		for range pick(3) {
			wg.Go(func() {
				for try := range 2 {
					a := c.Send(entries[pick(len(entries))], rig2.Request{Kind: "map", Path: "/map/2f", Deadline: 1200 * time.Millisecond, Fresh: try > 0})
					if a.Status == 200 && a.Whole {
						return
					}
				}
			})
		}
		wg.Go(func() {
			for try := range 2 {
				a := c.Send(entries[pick(len(entries))], rig2.Request{Kind: "card", Path: "/card/77", Body: "card of " + id, Deadline: 2 * time.Second, Fresh: try > 0})
				if !a.Promised() {
					return
				}
				time.Sleep(a.RetryAfter)
			}
		})
		wg.Wait()
		time.Sleep(time.Duration(20+pick(80)) * time.Millisecond)
	}
}

func membershipFaults(ledgers []*rig2.Node, pick func(int) int, stop time.Time) {
	var mu sync.Mutex
	busy := map[*rig2.Node]bool{}
	take := func() *rig2.Node {
		mu.Lock()
		defer mu.Unlock()
		n := ledgers[pick(len(ledgers))]
		if busy[n] {
			return nil
		}
		busy[n] = true
		return n
	}
	free := func(n *rig2.Node) { mu.Lock(); busy[n] = false; mu.Unlock() }
	var wg sync.WaitGroup
	// Losses of disks, one at a time.
	wg.Go(func() {
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(6000+pick(4000)) * time.Millisecond)
			n := take()
			if n == nil {
				continue
			}
			n.Kill()
			must(n.Wipe())
			time.Sleep(time.Duration(300+pick(2000)) * time.Millisecond)
			must(n.Start(false))
			free(n)
		}
	})
	for range 2 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(500+pick(3000)) * time.Millisecond)
				n := take()
				if n == nil {
					continue
				}
				switch pick(3) {
				case 0:
					n.Kill()
					time.Sleep(time.Duration(pick(3000)) * time.Millisecond)
					must(n.Start(false))
				case 1:
					n.Signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(500+pick(2700)) * time.Millisecond)
					n.Signal(syscall.SIGCONT)
				case 2:
					n.Terminate()
					time.Sleep(time.Duration(pick(1500)) * time.Millisecond)
					must(n.Start(false))
				}
				free(n)
			}
		})
	}
	wg.Wait()
}

// membershipChanges adds machines, retires some and replaces others for good, while further ones are
// killed, frozen or stopped. One disk is lost at a time.
func membershipChanges(r *rig2.Rig, pick func(int) int, stop time.Time) {
	var mu sync.Mutex
	live := r.Nodes("ledger")
	busy := map[*rig2.Node]bool{}
	take := func(least int) *rig2.Node {
		mu.Lock()
		defer mu.Unlock()
		n := live[pick(len(live))]
		if busy[n] || len(live) < least {
			return nil
		}
		busy[n] = true
		return n
	}
	free := func(n *rig2.Node) { mu.Lock(); busy[n] = false; mu.Unlock() }
	drop := func(n *rig2.Node) {
		mu.Lock()
		defer mu.Unlock()
		live = slices.DeleteFunc(live, func(other *rig2.Node) bool { return other == n })
	}
	add := func(n *rig2.Node) { mu.Lock(); live = append(live, n); mu.Unlock() }
	size := func() int { mu.Lock(); defer mu.Unlock(); return len(live) }
	var wg sync.WaitGroup
	wg.Go(func() {
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(5000+pick(4000)) * time.Millisecond)
			switch pick(3) {
			case 0:
				// Replaced for good.
				n := take(4)
				if n == nil || len(r.Nodes("ledger")) > 8 {
					continue
				}
				n.Kill()
				must(n.Wipe())
				drop(n)
				time.Sleep(time.Duration(500+pick(1500)) * time.Millisecond)
				replacement := r.AddNode("ledger", n.Zone)
				must(replacement.Start(false))
				add(replacement)
				time.Sleep(5 * time.Second)
			case 1:
				n := take(1)
				if n == nil {
					continue
				}
				n.Kill()
				must(n.Wipe())
				time.Sleep(time.Duration(300+pick(1700)) * time.Millisecond)
				must(n.Start(false))
				time.Sleep(5 * time.Second)
				free(n)
			case 2:
				if size() < 5 && len(r.Nodes("ledger")) <= 8 {
					added := r.AddNode("ledger", rig2.Zones[pick(3)])
					must(added.Start(false))
					add(added)
					continue
				}
				n := take(5)
				if n == nil {
					continue
				}
				r.Store.Put("op/retire/"+n.Name, []byte(`{"duration_s":8.9}`))
				for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					if strings.Contains(string(r.Store.Value("status/retire/"+n.Name)), "completed") {
						n.Kill()
						must(n.Wipe())
						drop(n)
						break
					}
				}
				free(n)
			}
		}
	})
	wg.Go(func() {
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(500+pick(3000)) * time.Millisecond)
			n := take(1)
			if n == nil {
				continue
			}
			switch pick(3) {
			case 0:
				n.Kill()
				time.Sleep(time.Duration(pick(3000)) * time.Millisecond)
				must(n.Start(false))
			case 1:
				n.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+pick(2700)) * time.Millisecond)
				n.Signal(syscall.SIGCONT)
			case 2:
				n.Terminate()
				time.Sleep(time.Duration(pick(1500)) * time.Millisecond)
				must(n.Start(false))
			}
			free(n)
		}
	})
	wg.Wait()
}
