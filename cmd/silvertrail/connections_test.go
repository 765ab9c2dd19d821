package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

// fewDescriptors is how many descriptors the process of the test below may have: less than its file says.
const fewDescriptors = 72

// maxVisits bounds how often a caller comes back that is told to.
const maxVisits = 50

// endpointEjected is the policy's line for an ejection. No endpoint is to blame for the process's own descriptors.
var endpointEjected = regexp.MustCompile(`server \d+ out: `)

// fewConfig writes a configuration that says more descriptors than there are.
func fewConfig(t *testing.T, endpoint string) string {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "few.hcl")
	text := fmt.Sprintf(`
process {
  sockets = 512
  control = "few.sock"
  stop    = "200ms"
}
class "write" {
  aim      = "5s"
  deadline = "30s"
  effect   = "keyed"
  window   = "60s"
}
clients "secretarias" {
  networks = ["127.0.0.3"]
}
listener "l" {
  address     = "127.0.0.1:0"
  reserve "secretarias" {
    places = 8
  }
}
cluster "c" {
  endpoint "e" {
    address = %q
  }
}
route "r" {
  class   = "write"
  cluster = "c"
}
`, endpoint)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A process that the system grants fewer descriptors than its file says: nobody's request is lost or done twice, those at
// work go on, who can't be served is told so, a known client gets in, and all is well again afterwards.
func TestOutOfDescriptors(t *testing.T) {
	var mu sync.Mutex
	effects := map[string]int{}
	hold := make(chan struct{})
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) {
		mu.Lock()
		effects[a.Request.URL.Path]++
		mu.Unlock()
		if strings.HasPrefix(a.Request.URL.Path, "/held") {
			<-hold
		}
		a.OK()
	})
	path := fewConfig(t, e.Addr)
	i := &instance{t: t, config: path, descriptors: fewDescriptors}
	i.run()
	t.Cleanup(i.kill)

	ask := func(c net.Conn, id string) (status int, retryAfter time.Duration) {
		fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\nok", id, id)
		status, retryAfter = lbtest.ReadResponse(bufio.NewReader(c))
		if (status == 503 || status == 429) && retryAfter <= 0 {
			t.Errorf("%s: %d without a time to come back", id, status)
		}
		return status, retryAfter
	}
	visit := func(addr, id string) (status int, retryAfter time.Duration) {
		c, err := lbtest.DialFrom(addr, i.addr)
		if err != nil {
			return 0, 0
		}
		defer c.Close()
		return ask(c, id)
	}
	statuses := map[string]int{}
	note := func(id string, status int) {
		mu.Lock()
		defer mu.Unlock()
		statuses[id] = status
	}
	arrived := func(prefix string) (n int) {
		mu.Lock()
		defer mu.Unlock()
		for id := range effects {
			if strings.HasPrefix(id, prefix) {
				n++
			}
		}
		return n
	}

	// Idle ones fill the descriptors: more than there can be.
	for n := range 2 * fewDescriptors {
		c, err := lbtest.DialFrom("127.0.0.2", i.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		id := fmt.Sprint("idle-", n)
		status, _ := ask(c, id)
		note(id, status)
	}
	// Requests in work take their places, two descriptors each. A connection that has only just become idle is not closed for them:
	// who is told so comes back when the time that it was told is over.
	var work sync.WaitGroup
	for n := range fewDescriptors / 6 {
		work.Go(func() {
			for try := range maxVisits {
				id := fmt.Sprintf("held-%d-%d", n, try)
				status, retryAfter := visit("127.0.0.4", id)
				note(id, status)
				if status != 503 && status != 429 {
					return
				}
				time.Sleep(retryAfter)
			}
		})
	}
	lbtest.Until(t, "requests are in work", func() bool { return arrived("/held-") >= fewDescriptors/8 })
	// A crowd that holds on, silent, from many addresses, while known clients come.
	for n := range 2 * fewDescriptors {
		c, err := lbtest.DialFrom(fmt.Sprintf("127.0.2.%d", n+1), i.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for n := range 6 {
		id := fmt.Sprint("secretary-", n)
		status, _ := visit("127.0.0.3", id)
		if note(id, status); status != 200 {
			t.Errorf("a secretary got %d", status)
		}
	}
	var crowd sync.WaitGroup
	for n := range 2 * fewDescriptors {
		crowd.Go(func() {
			id := fmt.Sprint("crowd-", n)
			status, _ := visit("127.0.0.5", id)
			note(id, status)
		})
	}
	crowd.Wait()
	out, err := runCommand(t, "connections", "status", "--config", path)
	if err != nil || !strings.Contains(out, "descriptors ran out") {
		t.Errorf("status: %s %v", out, err)
	}
	close(hold)
	work.Wait()
	lbtest.Until(t, "all places are back", func() bool {
		out, err := runCommand(t, "connections", "status", "--config", path)
		return err == nil && !strings.Contains(out, "descriptors ran out")
	})
	tries := 0
	lbtest.Until(t, "all is well again", func() bool { // who is still refused comes back, as it is told
		tries++
		status, _ := visit("127.0.0.6", fmt.Sprint("after-", tries))
		return status == 200
	})
	if out, err := runCommand(t, "connections", "who", "--config", path, "127.0.0.3"); err != nil || !strings.Contains(out, "of group secretarias") {
		t.Errorf("who: %s %v", out, err)
	}

	served, refused, lost := 0, 0, 0
	for id, status := range statuses {
		n := effects["/"+id]
		switch status {
		case 200:
			served++
			if n != 1 {
				t.Errorf("%s was answered and took effect %d times", id, n)
			}
		case 503, 429:
			refused++
			if n != 0 {
				t.Errorf("%s was refused and took effect", id)
			}
		default:
			lost++
			if n > 0 {
				t.Errorf("%s took effect and got %d", id, status)
			}
		}
	}
	if arrived("/held-") == 0 || served < fewDescriptors {
		t.Errorf("%d served", served)
	}
	t.Logf("%d served, %d refused, %d ended before they had an answer", served, refused, lost)
	if log := i.log.String(); strings.Contains(log, "panic") || endpointEjected.MatchString(log) {
		t.Error(log)
	}
}

// Bodies that never come hold all descriptors, and none can be ended: who comes then is told so at once, and not when the
// first of them has had its time.
func TestNothingIdle(t *testing.T) {
	e := lbtest.NewEndpoint(t, func(a *lbtest.Arrival) { a.OK() })
	i := &instance{t: t, config: fewConfig(t, e.Addr), descriptors: fewDescriptors}
	i.run()
	t.Cleanup(i.kill)
	lbtest.Until(t, "refusals come before the bodies' time is over", func() bool {
		codes := make(chan int, 2*fewDescriptors)
		for range 2 * fewDescriptors {
			c, err := lbtest.DialFrom("127.0.0.8", i.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go func() {
				io.WriteString(c, "POST /half HTTP/1.1\r\nHost: x\r\nIdempotency-Key: half\r\nContent-Length: 200\r\n\r\nhalf")
				status, _ := lbtest.ReadResponse(bufio.NewReader(c))
				codes <- status
			}()
		}
		early, late := 0, false
		for range 2 * fewDescriptors {
			switch <-codes {
			case 503:
				if !late {
					early++
				}
			case 408:
				late = true
			}
		}
		return early >= fewDescriptors/2
	})
}
