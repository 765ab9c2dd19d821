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

// TLSConfig has a listener's connections use TLS, with certificate files that may be replaced at any time.
type TLSConfig struct {
	files        certs.Files
	required     bool
	certificates *certs.Reloader

	mu         sync.Mutex
	generation int
	config     *tls.Config // of the generation; kept for the sake of its session tickets
}

// NewTLSConfig reads the files. With an authority clients may present a certificate, and must where it is required.
func NewTLSConfig(files certs.Files, required bool, log *slog.Logger) (*TLSConfig, error) {
	reloader, err := certs.Open(files, log)
	if err != nil {
		return nil, err
	}
	return &TLSConfig{files: files, required: required, certificates: reloader}, nil
}

// IsFor reports whether the configuration is that of the given files.
func (t *TLSConfig) IsFor(files certs.Files, required bool) bool {
	return t.files == files && t.required == required
}

// current returns the configuration for a new connection. A new certificate or authority begins a new one, in which the session tickets
// of the old one are not valid: nobody resumes a session under an authority that is not trusted any more.
func (t *TLSConfig) current() *tls.Config {
	certificate, roots, generation := t.certificates.Current()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config != nil && t.generation == generation {
		return t.config
	}
	t.generation = generation
	t.config = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}, NextProtos: []string{"http/1.1"}}
	if roots != nil {
		t.config.ClientCAs = roots
		t.config.ClientAuth = tls.VerifyClientCertIfGiven
		if t.required {
			t.config.ClientAuth = tls.RequireAndVerifyClientCert
		}
	}
	return t.config
}

// identificationTimeout bounds the handshake of a connection that was admitted to present a certificate.
const identificationTimeout = time.Second

// handshake makes the TLS handshake, and reports the client's certificate to the admission controller. It returns false where the
// connection has ended, or was rejected.
func (c *clientConn) handshake() bool {
	timeout := messageTimeout
	if c.mustIdentify {
		timeout = identificationTimeout
	}
	c.setReadDeadline(time.Now().Add(timeout))
	c.socket.SetWriteDeadline(c.readDeadline)
	conn := tls.Server(c.received, c.tlsConfig.current())
	if conn.HandshakeContext(c.ctx) != nil {
		return false
	}
	c.Conn = conn
	c.reader = conn
	var names []string
	if chains := conn.ConnectionState().VerifiedChains; len(chains) > 0 {
		names = certificateNames(chains[0][0])
	}
	a := c.acceptor
	a.mu.Lock()
	v := a.controller.Identify(time.Now(), c.slot, names)
	a.mu.Unlock()
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

// certificateNames returns the DNS names and URIs of a certificate, or its common name where it has neither.
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

// maxPipelinedBytes bounds the input that is read while a request is in flight: a head.
const maxPipelinedBytes = maxHeadBytes

// tlsRecordTimeout is how long the rest of a TLS record is awaited whose beginning was received.
const tlsRecordTimeout = 2 * time.Millisecond

// watchTLS watches a connection under TLS, where reading alone distinguishes a next request from a disconnect. What it reads is kept, up
// to a bound; beyond that only the end of the socket is noticed.
func (c *clientConn) watchTLS() {
	for len(c.pipelined) < maxPipelinedBytes {
		err := c.readPipelined()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			c.cancel()
			return
		}
	}
	c.awaitDisconnect()
}

// readPipelined reads what comes behind the request in flight, and keeps it.
func (c *clientConn) readPipelined() error {
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	b := (*pooled)[:readBufferBytes]
	n, err := c.reader.Read(b)
	c.pipelined = append(c.pipelined, b[:n]...)
	return err
}

// readPendingTLS notices a disconnect that came under TLS while nothing was read, up to the same bound: the request may have waited for
// memory for longer than it will be in flight. It reads what was received, and waits for nothing but the rest of a record. Nothing else
// reads meanwhile.
func (c *clientConn) readPendingTLS() {
	defer c.clearReadDeadline()
	deadline := pastDeadline // returns what TLS has decrypted already, and nothing more
	for len(c.pipelined) < maxPipelinedBytes {
		c.Conn.SetReadDeadline(deadline)
		err := c.readPipelined()
		switch {
		case err == nil:
			deadline = pastDeadline
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
			return
		case deadline.Equal(pastDeadline) && c.hasUnreadBytes():
			deadline = time.Now().Add(tlsRecordTimeout)
		default:
			return
		}
	}
}
