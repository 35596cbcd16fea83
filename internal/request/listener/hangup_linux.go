package listener

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerKeepAlive finds a silent caller within 25 s.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// userTimeout bounds how long sent data may stay unacknowledged.
const userTimeout = 15 * time.Second

// tcpCloseWait and tcpClose are states of a TCP connection: closed by the peer, and closed or reset.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// rawConn returns the TCP connection below conn, or nil.
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

// setUserTimeout makes the kernel close a connection whose peer stops acknowledging.
func setUserTimeout(raw syscall.RawConn) {
	if raw == nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// isHungUp reports whether the peer has closed the connection. It asks for the
// state of the connection, because unread messages would hide the end of the stream.
func isHungUp(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	isGone := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isGone = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return isGone
}
