package lbtest

import (
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/vishvananda/netlink"
	"github.com/vishvananda/netlink/nl"
	"golang.org/x/sys/unix"
)

// IsEstablished reports whether a connection over IPv4 is established on its side with the address local, accepted or not. To read
// /proc/net/tcp for that takes 0.1 s and more where other tests have left many sockets, and timers of the program run meanwhile.
func IsEstablished(local, remote net.Addr) bool {
	query := socketQuery{local: addressOf(local), remote: addressOf(remote)}
	request := nl.NewNetlinkRequest(nl.SOCK_DIAG_BY_FAMILY, 0)
	request.AddData(query)
	messages, err := request.Execute(unix.NETLINK_INET_DIAG, nl.SOCK_DIAG_BY_FAMILY)
	const stateOffset = 1 // struct inet_diag_msg
	return err == nil && len(messages) == 1 && len(messages[0]) > stateOffset && messages[0][stateOffset] == netlink.TCP_ESTABLISHED
}

func addressOf(a net.Addr) netip.AddrPort {
	if tcp, ok := a.(*net.TCPAddr); ok {
		address := tcp.AddrPort()
		return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	}
	return netip.AddrPort{}
}

// socketQuery asks for one TCP socket over IPv4 (struct inet_diag_req_v2, sock_diag(7)). It implements nl.NetlinkRequestData.
type socketQuery struct{ local, remote netip.AddrPort }

const (
	socketQueryBytes = 56
	anyCookie        = ^uint64(0) // INET_DIAG_NOCOOKIE, twice
	allStates        = ^uint32(0)
)

// Len implements nl.NetlinkRequestData.
func (q socketQuery) Len() int { return socketQueryBytes }

// Serialize implements nl.NetlinkRequestData.
func (q socketQuery) Serialize() []byte {
	b := make([]byte, 0, socketQueryBytes)
	b = append(b, unix.AF_INET, unix.IPPROTO_TCP, 0, 0)
	b = binary.NativeEndian.AppendUint32(b, allStates)
	b = binary.BigEndian.AppendUint16(b, q.local.Port())
	b = binary.BigEndian.AppendUint16(b, q.remote.Port())
	b = appendAddress(b, q.local.Addr())
	b = appendAddress(b, q.remote.Addr())
	b = binary.NativeEndian.AppendUint32(b, 0) // any interface
	return binary.NativeEndian.AppendUint64(b, anyCookie)
}

// appendAddress appends an IPv4 address in the room of an IPv6 one.
func appendAddress(b []byte, a netip.Addr) []byte {
	b = append(b, a.AsSlice()...)
	return append(b, make([]byte, net.IPv6len-net.IPv4len)...)
}
