package fake

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"silvertrail/internal/testkit/lbtest"
)

func nodo(t *testing.T, o EndpointOptions) (*Endpoint, func(key string) int) {
	t.Helper()
	n, err := NewEndpoint(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	client := &http.Client{Timeout: lbtest.Wait, Transport: &http.Transport{DisableKeepAlives: true}}
	return n, func(key string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+n.Addr+"/reserva/1", strings.NewReader("x"))
		if err != nil {
			t.Error(err)
			return 0
		}
		r.Header.Set("Idempotency-Key", key)
		resp, err := client.Do(r)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("X-Not-Processed") != "1" {
			t.Error("turned away with no word that nothing ran")
		}
		return resp.StatusCode
	}
}

// A nodo counts what took effect, and turns away unseen what it has no room for and what comes as it drains.
func TestNodo(t *testing.T) {
	n, ask := nodo(t, EndpointOptions{Name: "a", Slots: 1, Work: time.Millisecond})
	for _, key := range []string{"k", "k", "l"} {
		if s := ask(key); s != 200 {
			t.Errorf("%s: %d", key, s)
		}
	}
	n.slots <- struct{}{} // at work, and no queue
	if s := ask("full"); s != 503 {
		t.Errorf("full: %d", s)
	}
	<-n.slots
	n.Drain()
	if s := ask("late"); s != 503 || n.RequestsWhileDraining() != 1 {
		t.Errorf("draining: %d, %d came late", s, n.RequestsWhileDraining())
	}
	if e := n.Effects(); len(e) != 2 || e["k"] != 2 || e["l"] != 1 || n.Requests() != 5 {
		t.Errorf("effects %v of %d requests", e, n.Requests())
	}
}

// One that hangs answers nothing until it is closed.
func TestHang(t *testing.T) {
	n, ask := nodo(t, EndpointOptions{Name: "a"})
	n.Hang(true)
	ended := make(chan int, 1)
	go func() { ended <- ask("k") }()
	lbtest.Until(t, "a request", func() bool { return n.Requests() == 1 })
	select {
	case s := <-ended:
		t.Errorf("answered %d", s)
	default:
	}
	n.Close()
	if s := <-ended; s != 0 || len(n.Effects()) > 0 {
		t.Errorf("answered %d, effects %v", s, n.Effects())
	}
}

// A queue takes as many as it is told, and they are served in their time.
func TestQueue(t *testing.T) {
	n, ask := nodo(t, EndpointOptions{Name: "a", Slots: 1, Queue: 1})
	n.slots <- struct{}{}
	waits := make(chan int, 1)
	go func() { waits <- ask("waits") }()
	lbtest.Until(t, "one waits", func() bool { return n.waiting.Load() == 1 })
	if s := ask("over"); s != 503 {
		t.Errorf("over the queue: %d", s)
	}
	<-n.slots
	if s := <-waits; s != 200 {
		t.Errorf("from the queue: %d", s)
	}
}

func TestNameServer(t *testing.T) {
	s, err := NewNameServer(func(q dns.Question, tcp bool) *Response {
		if !tcp {
			return &Response{Truncated: true}
		}
		return &Response{Records: []string{q.Name + " 5 IN A 127.0.0.1", q.Name + " 5 IN AAAA ::1"}}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	q := new(dns.Msg)
	q.SetQuestion("a.test.", dns.TypeA)
	for _, network := range []string{"udp", "tcp"} {
		m, _, err := (&dns.Client{Net: network, Timeout: lbtest.Wait}).Exchange(q, s.Addr)
		if err != nil || m.Truncated != (network == "udp") || network == "tcp" && len(m.Answer) != 1 {
			t.Errorf("%s: %v, %v", network, m, err)
		}
	}
	select {
	case <-s.Queries():
	default:
		t.Error("nobody was told of the question")
	}
}
