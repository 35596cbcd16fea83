//go:build !linux

package listener

import (
	"net"
	"syscall"
	"time"
)

// callerKeepAlive finds a silent caller within 25 s.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// The state of a TCP connection and its user timeout are only used on Linux, which the VMs run.
// Elsewhere a caller that hangs up is noticed when its statement has ended.

func rawConn(net.Conn) syscall.RawConn { return nil }

func setUserTimeout(syscall.RawConn) {}

func isHungUp(syscall.RawConn) bool { return false }
