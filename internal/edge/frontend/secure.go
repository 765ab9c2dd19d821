package frontend

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"os"
	"sync"
	"time"

	"silvertrail/internal/edge/admission"
	"silvertrail/internal/edge/certs"
)

// Secure has a listener's connections speak TLS, by files that may be replaced at any time.
type Secure struct {
	files    certs.Files
	required bool
	proof    *certs.Proof

	mu     sync.Mutex
	nth    int
	config *tls.Config // as of nth; kept, as callers come back with its tickets
}

// NewSecure reads the files. Callers may show a certificate where there is an authority, and must where it is required.
func NewSecure(files certs.Files, required bool, log *slog.Logger) (*Secure, error) {
	proof, err := certs.Open(files, log)
	if err != nil {
		return nil, err
	}
	return &Secure{files: files, required: required, proof: proof}, nil
}

// Is tells whether it was made of the same.
func (s *Secure) Is(files certs.Files, required bool) bool {
	return s.files == files && s.required == required
}

// current returns what a connection is taken with now. A new certificate or authority begins a new configuration: the
// tickets of the old one are worth nothing to it, so that nobody comes in by an authority that is no longer believed.
func (s *Secure) current() *tls.Config {
	pair, roots, nth := s.proof.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == nil || s.nth != nth {
		s.nth = nth
		s.config = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, NextProtos: []string{"http/1.1"}}
		if roots != nil {
			s.config.ClientCAs, s.config.ClientAuth = roots, tls.VerifyClientCertIfGiven
			if s.required {
				s.config.ClientAuth = tls.RequireAndVerifyClientCert
			}
		}
	}
	return s.config
}

// proveIn is how long a caller has to show its certificate who was let in for that alone.
const proveIn = time.Second

// handshake begins TLS, and tells the door who the caller is. It returns false where the connection has ended or is refused.
func (c *callerConn) handshake() bool {
	within := wholeIn
	if c.proving {
		within = proveIn
	}
	c.readBy(time.Now().Add(within))
	c.socket.SetWriteDeadline(c.till)
	conn := tls.Server(c.socket, c.secure.current())
	if conn.HandshakeContext(c.ctx) != nil {
		return false
	}
	c.Conn = conn
	var names []string
	if chains := conn.ConnectionState().VerifiedChains; len(chains) > 0 {
		names = namesOf(chains[0][0])
	}
	l := c.conns
	l.mu.Lock()
	v := l.door.Identify(time.Now(), c.place, names)
	l.mu.Unlock()
	if v.Evict != nil {
		end([]*admission.Conn{v.Evict})
	}
	if v.Rejected {
		c.turnAwayWith(refusal(v))
		c.linger()
		return false
	}
	return true
}

// namesOf returns what a certificate calls its owner: DNS names and URIs, or its common name where it has none of these.
func namesOf(c *x509.Certificate) (names []string) {
	names = append(names, c.DNSNames...)
	for _, u := range c.URIs {
		names = append(names, u.String())
	}
	if len(names) == 0 && c.Subject.CommonName != "" {
		names = append(names, c.Subject.CommonName)
	}
	return names
}

// mostAhead is what is read ahead of a caller's next request while one is in work: what its head may have.
const mostAhead = maxHead

// standIn is how long the rest of a TLS record is waited for whose beginning stands there.
const standIn = 2 * time.Millisecond

// lookSecure watches a connection under TLS: only what is read tells a caller's next request from its end. What it reads of
// a next request is kept, up to a bound; beyond that the socket's end alone is looked for.
func (c *callerConn) lookSecure() {
	for len(c.ahead) < mostAhead {
		if err := c.readAhead(); errors.Is(err, os.ErrDeadlineExceeded) {
			return
		} else if err != nil {
			c.cancel()
			return
		}
	}
	c.awaitEnd()
}

// readAhead reads what comes next behind the request in work, and keeps it.
func (c *callerConn) readAhead() error {
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	b := (*pooled)[:readBuffer]
	n, err := c.Conn.Read(b)
	c.ahead = append(c.ahead, b[:n]...)
	return err
}

// caughtUp looks under TLS for an end that came while nothing was read, up to the same bound: the request may have waited
// for its turn, or for memory, for longer than it will be in work. What is there is read; nothing is waited for, but the
// rest of a record. Nothing else reads meanwhile.
func (c *callerConn) caughtUp() {
	held := time.Unix(1, 0) // by this deadline what TLS has read of the socket is to be had, and nothing more
	by := held
	for len(c.ahead) < mostAhead {
		c.Conn.SetReadDeadline(by)
		switch err := c.readAhead(); {
		case err == nil:
			by = held
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
		case by.Equal(held) && c.stands():
			by = time.Now().Add(standIn)
			continue
		}
		break
	}
	c.till = time.Time{}
	c.Conn.SetReadDeadline(c.till)
}

// stands tells whether something stands on the socket, which nobody has read.
func (c *callerConn) stands() (more bool) {
	c.raw.Control(func(fd uintptr) { more, _ = peek(fd) })
	return more
}
