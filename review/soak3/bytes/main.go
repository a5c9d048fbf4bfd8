// Command bytes sends changed bytes to an entry, as clients and as engines, and checks that the process
// lives on. It is a trial of the third review, not a case.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/rig3"
)

var unsigned, whole, sent atomic.Int64

func main() {
	seconds, _ := strconv.Atoi(os.Args[2])
	rig, err := rig3.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	code := play(rig, time.Duration(seconds)*time.Second)
	text, _ := os.ReadFile(rig.Machines()[3].LogPath())
	_ = os.WriteFile(os.Args[1]+".log", text, 0o600)
	rig.Close()
	os.Exit(code)
}

func play(rig *rig3.Rig, length time.Duration) int {
	rig.Store.Put("op/config", fmt.Appendf(nil, `{"version":7,"routes":[`+
		`{"name":"keep","host":%q,"prefix":"/keep/","type":"streaming","timeout_ms":1000,"latency_target_ms":200,"priority":0,"service":"s","max_attempts":2,"retained":true,"retention_s":60.0,"sticky":true,"resumable":false,"gap_target_ms":400},`+
		`{"name":"draft","host":%q,"prefix":"/draft/","type":"streaming","timeout_ms":1000,"latency_target_ms":200,"priority":1,"service":"s","max_attempts":2,"retained":false,"retention_s":60.0,"sticky":true,"resumable":true,"gap_target_ms":400},`+
		`{"name":"map","host":%q,"prefix":"/map/","type":"idempotent","timeout_ms":1000,"latency_target_ms":150,"priority":2,"service":"s","max_attempts":2}],`+
		`"services":[{"name":"s","health_path":"/healthz","engine":{"slots":12,"kv_capacity":378489,"chunk_tokens":22}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, rig3.Host, rig3.Host, rig3.Host))
	for i := range 8 {
		if _, err := rig.AddEngine(fmt.Sprintf("i-%d", i), "s", "abc"[i%3:i%3+1], 12, serve); err != nil {
			return 2
		}
	}
	for _, z := range []string{"a", "b", "c"} {
		rig.Add("ledger", z)
	}
	entry := rig.Add("entry", "a")
	if err := rig.StartAll(); err != nil {
		fmt.Println(err)
		return 2
	}
	var wait sync.WaitGroup
	until := time.Now().Add(length)
	for range 40 {
		wait.Go(func() {
			for time.Now().Before(until) && !entry.HasEnded() {
				client(entry.Front())
			}
		})
	}
	wait.Wait()
	fmt.Println("sent", sent.Load(), "whole 200", whole.Load(), "unsigned 200", unsigned.Load(), "entry ended:", entry.HasEnded(), "ready:", entry.IsReady())
	if entry.HasEnded() {
		return 1
	}
	return 0
}

// change changes some bytes.
func change(text []byte, n int) []byte {
	for range n {
		if len(text) < 4 {
			return text
		}
		at := rand.IntN(len(text) - 2)
		switch rand.IntN(7) {
		case 0:
			text[at] = byte(rand.IntN(256))
		case 1:
			text = append(text[:at:at], text[at+1:]...)
		case 2:
			text = append(text[:at:at], append([]byte{byte(rand.IntN(256))}, text[at:]...)...)
		case 3:
			text = text[:at]
		case 4:
			end := min(len(text), at+rand.IntN(60))
			text = append(text[:end:end], text[at:]...)
		case 5:
			number := []string{"-1", "0", "9223372036854775807", "18446744073709551616", "1e308", "NaN", "Inf", "0x10", "", "99999999999999999999999"}[rand.IntN(10)]
			text = append(text[:at:at], append([]byte(number), text[at:]...)...)
		case 6:
			text = append(text[:at:at], append([]byte("\r\n"), text[at:]...)...)
		}
	}
	return text
}

func client(front string) {
	nc, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	in := bufio.NewReader(nc)
	for range 1 + rand.IntN(4) {
		id := fmt.Sprintf("r%x", rand.Int64())
		body := strings.Repeat("b", rand.IntN(300))
		path := []string{"/keep/x", "/draft/x", "/map/x"}[rand.IntN(3)]
		text := []byte(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Rhubarbsaddle-Request-Id: %s\r\nX-Rhubarbsaddle-Deadline-Ms: 900\r\nX-Rhubarbsaddle-Program-Id: p%d\r\nX-Rhubarbsaddle-Session-Id: s\r\n"+
			"X-Rhubarbsaddle-Program-Deadline-Ms: 5200\r\nX-Rhubarbsaddle-Token-Budget: 100000\r\nX-Rhubarbsaddle-Token-Usage: 1840,588\r\nX-Rhubarbsaddle-Prefix-Hash: 5c1e07a2:8000,91bd3f06:410\r\n"+
			"X-Rhubarbsaddle-Length-Hint: 80\r\nCookie: X-Rhubarbsaddle-Affinity-Key=a\r\nContent-Length: %d\r\n\r\n%s", path, rig3.Host, id, rand.IntN(1000), len(body), body))
		if rand.IntN(2) == 0 {
			text = change(text, 1+rand.IntN(3))
		}
		sent.Add(1)
		if _, err := nc.Write(text); err != nil {
			return
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if response.StatusCode == 200 {
			if response.Header.Get(rig3.Signature) == "" {
				unsigned.Add(1)
			}
			if err == nil {
				whole.Add(1)
			}
		}
		if err != nil || response.Close {
			return
		}
	}
}

func serve(e *rig3.Engine, nc net.Conn) {
	in := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(rig3.RequestID)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nX-Rhubarbsaddle-Instance-Load: 3,0,12,100\r\nServer-Limit: 5000\r\nKeep-Alive: timeout=5\r\n", rig3.RequestID, id, rig3.Signature)
		body := "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
		var text string
		switch rand.IntN(4) {
		case 0:
			text = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		case 1:
			text = head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		case 2:
			text = head + "\r\n" + body
		case 3:
			text = fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", rig3.RequestID, id, rig3.NotExecuted)
		}
		changed := []byte(text)
		if rand.IntN(2) == 0 {
			changed = change(changed, 1+rand.IntN(3))
		}
		if _, err := nc.Write(changed); err != nil || strings.Contains(text, "\r\n\r\nid:") && !strings.Contains(text, "Content-Length") || rand.IntN(5) == 0 {
			return
		}
	}
}
