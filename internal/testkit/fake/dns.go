package fake

import (
	"fmt"
	"net"
	"sync"

	"github.com/miekg/dns"
)

// NameServer is a name server on loopback, over UDP and TCP on one port, whose every answer its owner decides.
type NameServer struct {
	Addr string

	servers []*dns.Server
	mu      sync.Mutex
	answer  func(q dns.Question, tcp bool) *Response
	asked   chan struct{}
}

// Response is an answer. A nil *Response is none at all.
type Response struct {
	Records   []string // in the form of a zone file: "a.test. 1 IN A 127.0.0.1"
	Extra     []string
	Rcode     int
	Truncated bool
}

// NewNameServer starts a name server. Close ends it.
func NewNameServer(answer func(q dns.Question, tcp bool) *Response) (*NameServer, error) {
	for range 16 { // a port that is free on both
		p, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("fake: %w", err)
		}
		l, err := net.Listen("tcp", p.LocalAddr().String())
		if err != nil {
			p.Close()
			continue
		}
		s := &NameServer{Addr: p.LocalAddr().String(), answer: answer, asked: make(chan struct{}, 1)}
		handler := func(tcp bool) dns.Handler {
			return dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) { s.serve(w, q, tcp) })
		}
		s.servers = []*dns.Server{{PacketConn: p, Handler: handler(false)}, {Listener: l, Handler: handler(true)}}
		for _, server := range s.servers {
			up := make(chan struct{})
			server.NotifyStartedFunc = func() { close(up) }
			go server.ActivateAndServe()
			<-up
		}
		return s, nil
	}
	return nil, fmt.Errorf("fake: no port is free over UDP and TCP")
}

// Close ends the server.
func (s *NameServer) Close() {
	for _, server := range s.servers {
		server.Shutdown()
	}
}

// Set changes the answers.
func (s *NameServer) Set(answer func(q dns.Question, tcp bool) *Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// Queries returns a channel that gets a value soon after a question has come.
func (s *NameServer) Queries() <-chan struct{} { return s.asked }

func (s *NameServer) serve(w dns.ResponseWriter, q *dns.Msg, tcp bool) {
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	select {
	case s.asked <- struct{}{}:
	default:
	}
	r := answer(q.Question[0], tcp)
	if r == nil {
		return
	}
	m := new(dns.Msg)
	m.SetReply(q)
	m.Rcode, m.Truncated = r.Rcode, r.Truncated
	for _, text := range r.Records {
		if rr, err := dns.NewRR(text); err == nil && rr.Header().Rrtype == q.Question[0].Qtype {
			m.Answer = append(m.Answer, rr)
		}
	}
	for _, text := range r.Extra {
		if rr, err := dns.NewRR(text); err == nil {
			m.Extra = append(m.Extra, rr)
		}
	}
	w.WriteMsg(m)
}
