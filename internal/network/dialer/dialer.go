// Package dialer opens outgoing connections from a process's own IP address.
//
// A VM with several IP addresses must connect from the one in its settings, because packet filters on the other side,
// and the fault-injecting relay in tests, identify processes by their source address.
package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
)

// Func opens a connection. It has the signature of net.Dialer.DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// FromListenAddress returns a Func that connects from the IP address of a listen address, such as 127.0.0.1:5432. If the IP address is
// unspecified, such as 0.0.0.0, the operating system chooses the source address.
func FromListenAddress(listenAddress string) (Func, error) {
	addrPort, err := netip.ParseAddrPort(listenAddress)
	if err != nil {
		return nil, fmt.Errorf("source address of outgoing connections: listen address %q: %w", listenAddress, err)
	}
	if addrPort.Addr().IsUnspecified() {
		return (&net.Dialer{}).DialContext, nil
	}
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: addrPort.Addr().AsSlice()}}
	return d.DialContext, nil
}
