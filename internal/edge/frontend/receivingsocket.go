package frontend

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnmeasuredWait is the longest time in which bytes may have waited unnoticed: a small part of the 0.15 s by which the time told to an
// endpoint may be off (the platform's STANDING page). It bounds how often the system is asked.
const maxUnmeasuredWait = 50 * time.Millisecond

// receivingSocket is a client's socket that records when bytes reached this machine. That may be long before they are read: the
// connection was in the accept queue or waited for a slot, the process stood still, or an earlier request was in flight.
//
// It belongs to the goroutine that reads.
type receivingSocket struct {
	net.Conn
	rawConn    syscall.RawConn
	emptyAt    time.Time // when a read last left nothing unread; zero: never
	receivedAt time.Time // of the last byte that was read
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

// sinceLastData returns how long ago the last bytes reached the socket (tcp(7), TCP_INFO), in steps of the system's clock tick; 0 where the
// system does not tell. Where more has followed what was read, it is the time of that.
func (s *receivingSocket) sinceLastData() time.Duration {
	var age time.Duration
	// Control fails on a closed connection alone, whose requests are not forwarded.
	_ = s.rawConn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
