// Package dialer opens outgoing connections from a process's own IP number.
//
// A VM with several IP numbers must be seen under the one in its settings: the
// other side's filters, and the fault-injecting relay of the trials, tell processes apart by it.
package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
)

// Func opens a connection.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// From returns a Func that connects from the IP number of a listening address, such as 127.0.0.1:5432.
// An unspecified IP number leaves the choice to the system.
func From(listening string) (Func, error) {
	a, err := netip.ParseAddrPort(listening)
	if err != nil {
		return nil, fmt.Errorf("dial from %q: %w", listening, err)
	}
	if a.Addr().IsUnspecified() {
		return (&net.Dialer{}).DialContext, nil
	}
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: a.Addr().AsSlice()}}
	return d.DialContext, nil
}
