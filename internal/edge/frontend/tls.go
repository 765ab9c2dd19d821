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

// TLSConfig has a listener's connections speak TLS, by files that may be replaced at any time.
type TLSConfig struct {
	files        certs.Files
	required     bool
	certificates *certs.Reloader

	mu         sync.Mutex
	generation int
	config     *tls.Config // as of nth; kept, as callers come back with its tickets
}

// NewTLSConfig reads the files. Callers may show a certificate where there is an authority, and must where it is required.
func NewTLSConfig(files certs.Files, required bool, log *slog.Logger) (*TLSConfig, error) {
	proof, err := certs.Open(files, log)
	if err != nil {
		return nil, err
	}
	return &TLSConfig{files: files, required: required, certificates: proof}, nil
}

// IsFor tells whether it was made of the same.
func (s *TLSConfig) IsFor(files certs.Files, required bool) bool {
	return s.files == files && s.required == required
}

// current returns what a connection is taken with now. A new certificate or authority begins a new configuration: the
// tickets of the old one are worth nothing to it, so that nobody comes in by an authority that is no longer believed.
func (s *TLSConfig) current() *tls.Config {
	pair, roots, nth := s.certificates.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == nil || s.generation != nth {
		s.generation = nth
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

// identificationTimeout is how long a caller has to show its certificate who was let in for that alone.
const identificationTimeout = time.Second

// handshake begins TLS, and tells the door who the caller is. It returns false where the connection has ended or is refused.
func (c *clientConn) handshake() bool {
	within := messageTimeout
	if c.mustIdentify {
		within = identificationTimeout
	}
	c.setReadDeadline(time.Now().Add(within))
	c.socket.SetWriteDeadline(c.readDeadline)
	conn := tls.Server(c.socket, c.tlsConfig.current())
	if conn.HandshakeContext(c.ctx) != nil {
		return false
	}
	c.Conn = conn
	var names []string
	if chains := conn.ConnectionState().VerifiedChains; len(chains) > 0 {
		names = certificateNames(chains[0][0])
	}
	l := c.acceptor
	l.mu.Lock()
	v := l.controller.Identify(time.Now(), c.slot, names)
	l.mu.Unlock()
	if v.Evict != nil {
		closeEvicted([]*admission.Conn{v.Evict})
	}
	if v.Rejected {
		c.rejectWith(rejectionReply(v))
		c.linger()
		return false
	}
	return true
}

// certificateNames returns what a certificate calls its owner: DNS names and URIs, or its common name where it has none of these.
func certificateNames(c *x509.Certificate) (names []string) {
	names = append(names, c.DNSNames...)
	for _, u := range c.URIs {
		names = append(names, u.String())
	}
	if len(names) == 0 && c.Subject.CommonName != "" {
		names = append(names, c.Subject.CommonName)
	}
	return names
}

// maxPipelinedBytes is what is read ahead of a caller's next request while one is in work: what its head may have.
const maxPipelinedBytes = maxHeadBytes

// tlsRecordTimeout is how long the rest of a TLS record is waited for whose beginning stands there.
const tlsRecordTimeout = 2 * time.Millisecond

// watchTLS watches a connection under TLS: only what is read tells a caller's next request from its end. What it reads of
// a next request is kept, up to a bound; beyond that the socket's end alone is looked for.
func (c *clientConn) watchTLS() {
	for len(c.pipelined) < maxPipelinedBytes {
		if err := c.readAhead(); errors.Is(err, os.ErrDeadlineExceeded) {
			return
		} else if err != nil {
			c.cancel()
			return
		}
	}
	c.awaitDisconnect()
}

// readAhead reads what comes next behind the request in work, and keeps it.
func (c *clientConn) readAhead() error {
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	b := (*pooled)[:readBufferBytes]
	n, err := c.Conn.Read(b)
	c.pipelined = append(c.pipelined, b[:n]...)
	return err
}

// readPendingTLS looks under TLS for an end that came while nothing was read, up to the same bound: the request may have waited
// for its turn, or for memory, for longer than it will be in work. What is there is read; nothing is waited for, but the
// rest of a record. Nothing else reads meanwhile.
func (c *clientConn) readPendingTLS() {
	held := time.Unix(1, 0) // by this deadline what TLS has read of the socket is to be had, and nothing more
	by := held
	for len(c.pipelined) < maxPipelinedBytes {
		c.Conn.SetReadDeadline(by)
		switch err := c.readAhead(); {
		case err == nil:
			by = held
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
		case by.Equal(held) && c.hasUnreadBytes():
			by = time.Now().Add(tlsRecordTimeout)
			continue
		}
		break
	}
	c.readDeadline = time.Time{}
	c.Conn.SetReadDeadline(c.readDeadline)
}

// hasUnreadBytes tells whether something stands on the socket, which nobody has read.
func (c *clientConn) hasUnreadBytes() (more bool) {
	c.rawConn.Control(func(fd uintptr) { more, _ = peek(fd) })
	return more
}
