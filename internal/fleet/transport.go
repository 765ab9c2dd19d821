package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Transport carries a fleet's packets and streams over UDP and TCP on one port. It replaces memberlist's own transport, which
// allocates 64 KiB for each packet: at some thousand packets a second, that keeps the garbage collector busy most of the time.
// A Transport owns both sockets and two goroutines; Shutdown ends them.
type Transport struct {
	udp        *net.UDPConn
	tcp        *net.TCPListener
	packets    chan *memberlist.Packet
	streams    chan net.Conn
	closed     chan struct{}
	goroutines sync.WaitGroup
}

const (
	maxPacketBytes    = 64 << 10
	udpBufferBytes    = 1 << 20 // requested from the system, to absorb bursts
	packetQueueLength = 64
	maxPortAttempts   = 10 // if the system picks the port: the port may be free for only one of the two protocols
	acceptRetryDelay  = 20 * time.Millisecond
)

// Listen opens a UDP and a TCP socket on the same address; port 0 takes a free port.
func Listen(address string) (*Transport, error) {
	requested, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	for range maxPortAttempts {
		var t *Transport
		if t, err = listen(requested); err == nil {
			return t, nil
		}
		if requested.Port() != 0 {
			break
		}
	}
	return nil, fmt.Errorf("fleet: listen: %w", err)
}

func listen(requested netip.AddrPort) (*Transport, error) {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(requested))
	if err != nil {
		return nil, err
	}
	address := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP, Port: address.Port, Zone: address.Zone})
	if err != nil {
		tcp.Close()
		return nil, err
	}
	_ = udp.SetReadBuffer(udpBufferBytes) // the system may grant less: then more packets are lost, which is tolerated
	t := &Transport{
		udp:     udp,
		tcp:     tcp,
		packets: make(chan *memberlist.Packet, packetQueueLength),
		streams: make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	t.goroutines.Go(t.readPackets)
	t.goroutines.Go(t.accept)
	return t, nil
}

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() string { return t.tcp.Addr().String() }

func (t *Transport) readPackets() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil || n == 0:
			continue // ICMP reports an unreachable port as an error of the socket
		}
		packet := &memberlist.Packet{Buf: bytes.Clone(buffer[:n]), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}
		select {
		case t.packets <- packet:
		case <-t.closed:
			return
		}
	}
}

func (t *Transport) accept() {
	for {
		conn, err := t.tcp.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // typically, the process is out of file descriptors
			select {
			case <-time.After(acceptRetryDelay):
			case <-t.closed:
				return
			}
			continue
		}
		select {
		case t.streams <- conn:
		case <-t.closed:
			conn.Close()
			return
		}
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *Transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if ip != "" {
		advertised, err := netip.ParseAddr(ip)
		if err != nil {
			return nil, 0, fmt.Errorf("fleet: invalid advertise address: %w", err)
		}
		return advertised.AsSlice(), port, nil
	}
	local := t.tcp.Addr().(*net.TCPAddr)
	if local.IP.IsUnspecified() {
		return nil, 0, errors.New("fleet: an advertise address is required when listening on all addresses")
	}
	return local.IP, local.Port, nil
}

// WriteTo implements memberlist.Transport.
func (t *Transport) WriteTo(packet []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, fmt.Errorf("fleet: invalid packet destination: %w", err)
	}
	_, err = t.udp.WriteToUDPAddrPort(packet, to)
	return time.Now(), err
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *Transport) WriteToAddress(packet []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, a.Addr)
}

// PacketCh implements memberlist.Transport.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout implements memberlist.Transport. It dials from the local address that packets are sent from, so that other members
// see one address even if the host has several.
func (t *Transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var dialer net.Dialer
	if local := t.tcp.Addr().(*net.TCPAddr); !local.IP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.IP, Zone: local.Zone}
	}
	return dialer.DialContext(ctx, "tcp", addr)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *Transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
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
