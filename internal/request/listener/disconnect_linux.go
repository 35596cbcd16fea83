package listener

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientKeepAlive detects an unreachable client within 25 s of its last packet: the first probe after 10 s of
// silence, then three probes 5 s apart.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// tcpUserTimeout limits how long sent data may remain unacknowledged before the kernel closes the connection.
const tcpUserTimeout = 15 * time.Second

// States of a TCP connection in tcp_info: TCP_CLOSE after a reset or a completed close, TCP_CLOSE_WAIT after the peer
// has closed its side.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// rawConn returns the TCP connection underlying conn, or nil if there is none.
func rawConn(conn net.Conn) syscall.RawConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose peer stops acknowledging data.
func setUserTimeout(raw syscall.RawConn) {
	if raw == nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// isDisconnected reports whether the peer has closed the connection. It queries the TCP state, because unread data
// would hide the end of the stream from a read.
func isDisconnected(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	isClosed := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return isClosed
}
