package frontend

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnmeasuredWait is the longest time that bytes may have waited on the socket without TCP_INFO being queried. It limits how often the
// query is made. It is a small part of the 0.15 s by which the timeout sent to an endpoint may be off (the platform's STANDING page).
const maxUnmeasuredWait = 50 * time.Millisecond

// receivingSocket is a client's socket that records when bytes reached this machine. Bytes may arrive long before they are read: while
// the connection is in the accept queue or waits for a slot, while the process is paused, or while an earlier request is in flight.
//
// Only the goroutine that reads may use it.
type receivingSocket struct {
	net.Conn
	rawConn    syscall.RawConn
	emptyAt    time.Time // when a read last emptied the socket; zero if none did
	receivedAt time.Time // when the last byte read reached this machine
}

// Read implements net.Conn.
func (s *receivingSocket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	s.receivedAt = now
	if now.Sub(s.emptyAt) > maxUnmeasuredWait {
		s.receivedAt = now.Add(-s.sinceLastData())
	}
	if n < len(p) {
		s.emptyAt = now
	}
	return n, err
}

// sinceLastData returns how long ago the last bytes reached the socket (tcp(7), TCP_INFO), with the resolution of the system's clock tick.
// It returns 0 if the system does not report it. If more bytes arrived after the ones that were read, the result refers to the later ones.
func (s *receivingSocket) sinceLastData() time.Duration {
	var age time.Duration
	// Control fails only on a closed connection, whose requests are not forwarded.
	_ = s.rawConn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
