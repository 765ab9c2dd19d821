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

// TLSConfig is the TLS configuration of a listener's connections. Its certificate files may be replaced at any time.
type TLSConfig struct {
	files        certs.Files
	required     bool
	certificates *certs.Reloader

	mu         sync.Mutex
	generation int
	config     *tls.Config // for generation; reused so that its session tickets stay valid
}

// NewTLSConfig reads the certificate files. If they include an authority, clients may present a certificate signed by it. If required is
// true, they must.
func NewTLSConfig(files certs.Files, required bool, log *slog.Logger) (*TLSConfig, error) {
	reloader, err := certs.Open(files, log)
	if err != nil {
		return nil, err
	}
	return &TLSConfig{files: files, required: required, certificates: reloader}, nil
}

// IsFor reports whether the configuration was created with the given files and the same required setting.
func (t *TLSConfig) IsFor(files certs.Files, required bool) bool {
	return t.files == files && t.required == required
}

// current returns the configuration for a new connection. It creates a new one when a certificate or the authority was replaced. The
// session tickets of the old configuration are not valid in the new one, so that no client resumes a session under an authority that is not
// trusted any more.
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

// identificationTimeout is the handshake timeout of a connection that was admitted only to present a certificate.
const identificationTimeout = time.Second

// handshake performs the TLS handshake, and passes the names in the client's certificate to the admission controller. It returns false if
// the handshake failed or the connection was rejected.
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

// certificateNames returns the DNS names and URIs of a certificate, or its common name if it has neither.
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

// maxPipelinedBytes limits the input that is read while a request is in flight to the size of one head.
const maxPipelinedBytes = maxHeadBytes

// tlsRecordTimeout is the maximum wait for the rest of a partially received TLS record.
const tlsRecordTimeout = 2 * time.Millisecond

// watchTLS watches a connection under TLS, where only reading can distinguish a further request from a disconnect. It keeps the input that
// it reads, up to maxPipelinedBytes. Beyond that it detects only the close of the socket.
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

// readPipelined reads input that follows the current request, and appends it to c.pipelined.
func (c *clientConn) readPipelined() error {
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	b := (*pooled)[:readBufferBytes]
	n, err := c.reader.Read(b)
	c.pipelined = append(c.pipelined, b[:n]...)
	return err
}

// readPendingTLS detects a disconnect under TLS that arrived while nothing was read, for example while the request waited for memory. That
// wait may be longer than the request will be in flight. It reads the input that was received, up to maxPipelinedBytes, and waits only for
// the rest of a partial record. Nothing else may read from the connection at the same time.
func (c *clientConn) readPendingTLS() {
	defer c.clearReadDeadline()
	deadline := pastDeadline // returns only data that TLS has already decrypted
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
