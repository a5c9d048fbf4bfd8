package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/review/kit"
)

const (
	// answerBytes is the greatest answer of a plain call of the deployment's sheet.
	answerBytes = 4800
	// readPause is how long a client with other work leaves its answer unread. It is within the
	// deadline of the call.
	readPause = 2300 * time.Millisecond
	// smallWindow is the receive buffer of the clients, in bytes.
	smallWindow = 1 << 10
	slowClients = 8
)

// slowReader has clients that read their answers late.
func slowReader(d *kit.Deployment, trouble bool) (bool, string, error) {
	answer := strings.Repeat("x", answerBytes)
	handler := func(w http.ResponseWriter, _ *http.Request, body string) {
		time.Sleep(50 * time.Millisecond)
		if body == "short" {
			_, _ = fmt.Fprint(w, "ok")
			return
		}
		_, _ = fmt.Fprint(w, answer)
	}
	if _, err := d.AddEngine("i-02d9e6b4", plainServer, kit.Domains[0], 6, handler); err != nil {
		return false, "", err
	}
	putConfig(d, 7)
	s, err := start(d, 1)
	if err != nil {
		return false, "", err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	cut, whole := 0, 0
	var failure error
	for i := range slowClients {
		clients.Go(func() {
			a, err := callSlowly(d, s.entries[0].Front, fmt.Sprint("slow", i), trouble)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failure = err
			case a.Whole() && a.Body == answer:
				whole++
			default:
				cut++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	if failure != nil {
		return false, "", failure
	}
	return cut > 3, fmt.Sprintf("%d of %d calls that a sound server ran and answered whole ended with a closed connection; %d were answered whole", cut, slowClients, whole), nil
}

// callSlowly makes two calls on one connection and reads the second answer late.
func callSlowly(d *kit.Deployment, addr, id string, trouble bool) (kit.Answer, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return kit.Answer{}, err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	first := &kit.Request{Method: http.MethodPost, Host: host, Path: bookingPath, ID: id + "-1", Body: "short", Deadline: 3 * time.Second}
	if err := d.Send(conn, first); err != nil {
		return kit.Answer{}, err
	}
	if a := d.Receive(conn, in, first); !a.Whole() {
		return kit.Answer{}, fmt.Errorf("the first call failed: %v", a)
	}
	second := &kit.Request{Method: http.MethodPost, Host: host, Path: bookingPath, ID: id + "-2", Body: "long", Deadline: 3 * time.Second}
	if err := d.Send(conn, second); err != nil {
		return kit.Answer{}, err
	}
	if trouble {
		time.Sleep(readPause)
	}
	return d.Receive(conn, in, second), nil
}
