//go:build !linux

package listener

import (
	"net"
	"syscall"
	"time"
)

// clientKeepAlive detects an unreachable client within 25 s of its last packet: the first probe after 10 s of
// silence, then three probes 5 s apart.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// The TCP state and the TCP user timeout are used only on Linux, the platform of production VMs. On other systems a
// disconnect is noticed only after the client's statement has ended.

func rawConn(net.Conn) syscall.RawConn { return nil }

func setUserTimeout(syscall.RawConn) {}

func isDisconnected(syscall.RawConn) bool { return false }
