package soak

import (
	"encoding/binary"
	"net"
	"os"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// The sizes of the messages of the kernel's sock_diag interface, in bytes; see sock_diag(7).
const (
	netlinkHeaderSize   = 16
	socketIDSize        = 48
	inetDiagRequestSize = 8 + socketIDSize
	inetDiagInodeOffset = netlinkHeaderSize + 4 + socketIDSize + 16
	// sockDiagByFamily is the type of a request for a socket.
	sockDiagByFamily = 20
)

// socketInode returns the inode of the IPv4 socket with these addresses. The kernel finds it by a hash of them, while
// /proc/net/tcp lists all sockets of the machine, those in TIME_WAIT too.
func socketInode(local, remote net.Addr) (uint32, error) {
	localTCP, isLocalTCP := local.(*net.TCPAddr)
	remoteTCP, isRemoteTCP := remote.(*net.TCPAddr)
	if !isLocalTCP || !isRemoteTCP {
		return 0, errors.Errorf("not TCP addresses: %v, %v", local, remote)
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, errors.Wrap(err, "open sock_diag")
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Sendto(fd, inetDiagRequest(localTCP, remoteTCP), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, errors.Wrap(err, "send to sock_diag")
	}
	answer := make([]byte, os.Getpagesize())
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, errors.Wrap(err, "read from sock_diag")
	}
	if n < inetDiagInodeOffset+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0, os.ErrNotExist
	}
	return binary.NativeEndian.Uint32(answer[inetDiagInodeOffset:]), nil
}

// inetDiagRequest encodes a request for the TCP socket with these IPv4 addresses, in any state.
func inetDiagRequest(local, remote *net.TCPAddr) []byte {
	const anyState, noCookie = ^uint32(0), ^uint32(0)
	b := make([]byte, 0, netlinkHeaderSize+inetDiagRequestSize)
	b = binary.NativeEndian.AppendUint32(b, netlinkHeaderSize+inetDiagRequestSize)
	b = binary.NativeEndian.AppendUint16(b, sockDiagByFamily)
	b = binary.NativeEndian.AppendUint16(b, unix.NLM_F_REQUEST)
	b = append(b, make([]byte, 8)...) // sequence number and port
	b = append(b, unix.AF_INET, unix.IPPROTO_TCP, 0, 0)
	b = binary.NativeEndian.AppendUint32(b, anyState)
	b = binary.BigEndian.AppendUint16(b, uint16(local.Port))
	b = binary.BigEndian.AppendUint16(b, uint16(remote.Port))
	for _, ip := range []net.IP{local.IP, remote.IP} {
		address := [16]byte{}
		copy(address[:], ip.To4())
		b = append(b, address[:]...)
	}
	b = append(b, make([]byte, 4)...) // any interface
	b = binary.NativeEndian.AppendUint32(b, noCookie)
	return binary.NativeEndian.AppendUint32(b, noCookie)
}
