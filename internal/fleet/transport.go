package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Transport carries a fleet's packets and streams over UDP and TCP on one port. It does what memberlist's own does, but
// for the memory: that one takes 64 KiB for each packet, which at some thousand packets a second keeps the collector busy
// most of the time.
type Transport struct {
	udp        *net.UDPConn
	tcp        *net.TCPListener
	packets    chan *memberlist.Packet
	streams    chan net.Conn
	closed     chan struct{}
	goroutines sync.WaitGroup
}

const (
	maxPacketBytes   = 64 << 10
	udpBufferBytes   = 1 << 20 // asked of the system, for bursts
	maxPortAttempts  = 10      // where the system picks the port: it may be free for one of the two alone
	acceptRetryDelay = 20 * time.Millisecond
)

// Listen opens both sockets; port 0 takes a free one.
func Listen(address string) (*Transport, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	for range maxPortAttempts {
		var t *Transport
		if t, err = listen(at); err == nil {
			return t, nil
		}
		if at.Port() != 0 {
			break
		}
	}
	return nil, fmt.Errorf("fleet: listen: %w", err)
}

func listen(at netip.AddrPort) (*Transport, error) {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	got := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: got.IP, Port: got.Port, Zone: got.Zone})
	if err != nil {
		tcp.Close()
		return nil, err
	}
	udp.SetReadBuffer(udpBufferBytes) // as much as the system allows; less loses packets, which is borne
	t := &Transport{udp: udp, tcp: tcp, packets: make(chan *memberlist.Packet, 64), streams: make(chan net.Conn), closed: make(chan struct{})}
	t.goroutines.Go(t.readPackets)
	t.goroutines.Go(t.accept)
	return t, nil
}

// Addr returns the address that it listens on.
func (t *Transport) Addr() string { return t.tcp.Addr().String() }

func (t *Transport) readPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil || n == 0:
			continue // a port that was not reached, told by ICMP
		}
		p := &memberlist.Packet{Buf: append(make([]byte, 0, n), buffer[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}
		select {
		case t.packets <- p:
		case <-t.closed:
			return
		}
	}
}

func (t *Transport) accept() {
	for {
		c, err := t.tcp.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // descriptors are short
			select {
			case <-time.After(acceptRetryDelay):
			case <-t.closed:
				return
			}
			continue
		}
		select {
		case t.streams <- c:
		case <-t.closed:
			c.Close()
			return
		}
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *Transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	at := t.tcp.Addr().(*net.TCPAddr)
	if ip == "" {
		if at.IP.IsUnspecified() {
			return nil, 0, errors.New("fleet: listening on all addresses needs an address to advertise")
		}
		return at.IP, at.Port, nil
	}
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, 0, fmt.Errorf("fleet: advertise: %w", err)
	}
	return addr.AsSlice(), port, nil
}

// WriteTo implements memberlist.Transport.
func (t *Transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("fleet: packet: %w", err)
	}
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *Transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// PacketCh implements memberlist.Transport.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout implements memberlist.Transport. A stream comes from the address that packets come from, so that a machine
// with several has one way to each member, and who stands between sees whose it is.
func (t *Transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var d net.Dialer
	if at := t.tcp.Addr().(*net.TCPAddr); !at.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: at.IP, Zone: at.Zone}
	}
	return d.DialContext(ctx, "tcp", addr)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *Transport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, within)
}

// StreamCh implements memberlist.Transport.
func (t *Transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport.
func (t *Transport) Shutdown() error {
	close(t.closed)
	err := errors.Join(t.tcp.Close(), t.udp.Close())
	t.goroutines.Wait()
	return err
}
