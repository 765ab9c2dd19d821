package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvertrail/internal/testkit/lbtest"
)

const (
	memoryClients   = 480 // connected at once; half of the descriptors are for clients
	memoryEndpoints = 6
	uploadBytes     = 256 << 10
	responseBytes   = 1 << 20
	pressureTime    = 4 * time.Second
)

// fieldHead returns a request's head of nearly 16 KiB of distinct short fields.
func fieldHead(id string, fields int) string {
	lines := make([]string, 0, fields)
	for n := range fields {
		lines = append(lines, "x"+strconv.FormatInt(int64(n), 36)+":")
	}
	return lbtest.Get(id, lines...)
}

// largeResponses is an endpoint that answers reads with large bodies, and all others at once.
func largeResponses(t *testing.T) string {
	t.Helper()
	l := lbtest.Listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveLargeResponses(c)
		}
	}()
	return l.Addr().String()
}

func serveLargeResponses(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		size := 8
		if r.Method == http.MethodGet {
			size = responseBytes
		}
		if _, err := io.WriteString(c, lbtest.OK(strings.Repeat("x", size))); err != nil {
			return
		}
	}
}

// writeSlowly writes a text in pieces until a time is over, then the rest of it is left out.
func writeSlowly(c net.Conn, text string, pieceBytes int, interval, length time.Duration) {
	for until := time.Now().Add(length); time.Now().Before(until) && text != ""; time.Sleep(interval) {
		n := min(pieceBytes, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// readSlowly reads some bytes at a time until a time is over.
func readSlowly(c net.Conn, length time.Duration) {
	buffer := make([]byte, 2<<10)
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// Hundreds of clients at once that are slow, incomplete or wasteful take the process over its memory limit.
func TestMemoryUnderSlowClients(t *testing.T) {
	upload := func(id string) string {
		head := lbtest.Head("POST", ClassWrite, id, "Idempotency-Key: k-"+id, fmt.Sprintf("Content-Length: %d", uploadBytes))
		return head + strings.Repeat("b", uploadBytes)
	}
	behaviours := map[string]func(c net.Conn, id string){
		"slow uploads": func(c net.Conn, id string) { writeSlowly(c, upload(id), 4<<10, 50*time.Millisecond, pressureTime) },
		"stopped uploads": func(c net.Conn, id string) {
			text := upload(id)
			_, _ = io.WriteString(c, text[:len(text)/2])
			_ = c.SetReadDeadline(time.Now().Add(pressureTime))
			_, _ = io.Copy(io.Discard, c)
		},
		"many fields": func(c net.Conn, id string) {
			for until, n := time.Now().Add(pressureTime), 0; time.Now().Before(until); n++ {
				if _, err := io.WriteString(c, fieldHead(fmt.Sprint(id, "-", n), 2200)); err != nil {
					return
				}
				readSlowly(c, pressureTime/4)
			}
		},
		"large heads": func(c net.Conn, id string) {
			_, _ = io.WriteString(c, lbtest.Get(id, slices.Repeat([]string{"X-Padding: " + strings.Repeat("p", 160)}, 80)...))
			readSlowly(c, pressureTime)
		},
		"slow heads": func(c net.Conn, id string) {
			writeSlowly(c, fieldHead(id, 2200), 1<<10, 100*time.Millisecond, pressureTime)
			readSlowly(c, time.Second)
		},
		"slow readers": func(c net.Conn, id string) {
			_, _ = io.WriteString(c, lbtest.Get(id))
			readSlowly(c, pressureTime)
		},
	}
	names := slices.Sorted(maps.Keys(behaviours))
	var turn atomic.Int64
	behaviours["all of them"] = func(c net.Conn, id string) { behaviours[names[int(turn.Add(1))%len(names)]](c, id) }
	for _, role := range Roles {
		for name, behave := range behaviours {
			t.Run(fmt.Sprintf("%s/%s", role, name), func(t *testing.T) { testMemory(t, role, behave) })
		}
	}
}

func testMemory(t *testing.T, role Role, behave func(c net.Conn, id string)) {
	t.Helper()
	var endpoints []string
	for range memoryEndpoints {
		endpoints = append(endpoints, largeResponses(t))
	}
	limits := LeastLimits()
	p := Start(t, role, limits, endpoints...)
	idle := p.Memory(t)
	var clients sync.WaitGroup
	for n := range memoryClients {
		clients.Go(func() {
			until := time.Now().Add(pressureTime)
			for attempt := 0; time.Now().Before(until); attempt++ {
				c, err := net.DialTimeout("tcp", p.Addr, time.Second)
				if err != nil {
					return
				}
				_ = c.(*net.TCPConn).SetReadBuffer(8 << 10)
				behave(c, fmt.Sprintf("r-%d-%d", n, attempt))
				c.Close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	if p.Ended() {
		t.Fatal("the process has ended")
	}
	peak := p.PeakMemory(t)
	t.Logf("idle %d KiB, peak %d KiB, anonymous now %d KiB", idle>>10, peak>>10, p.statusBytes(t, "RssAnon")>>10)
	if peak > int64(limits.MemoryMB)<<20 {
		t.Errorf("%d MiB resident, the limit is %d MB", peak>>20, limits.MemoryMB)
	}
}
