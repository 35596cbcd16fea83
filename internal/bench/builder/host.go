package builder

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
)

// hostKind is the second number of the loopback IP numbers of one kind of host.
type hostKind byte

const (
	vmHosts       hostKind = 1
	instanceHosts hostKind = 2
	storeHosts    hostKind = 3
	callerHosts   hostKind = 4
)

// hostNumbers hands out one loopback IP number for each host. Systems of one
// process share none, and those of several processes hardly any: two systems
// on one number could take each other's ports.
type hostNumbers struct {
	mu   sync.Mutex
	last [callerHosts + 1]uint16
}

var hosts = newHostNumbers(os.Getpid())

func newHostNumbers(pid int) *hostNumbers {
	h := &hostNumbers{}
	for k := range h.last {
		h.last[k] = uint16(pid) << 8
	}
	return h
}

func (h *hostNumbers) next(k hostKind) netip.Addr {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last[k]++
	n := h.last[k]
	return netip.AddrFrom4([4]byte{127, byte(k), byte(n >> 8), byte(n)})
}

// AddCaller returns an IP number that a caller in a data centre connects from.
func (s *System) AddCaller(dataCentre string) netip.Addr {
	a := hosts.next(callerHosts)
	s.Net.AddCaller(a, s.place(dataCentre))
	return a
}

// freePorts returns two addresses of a host on which nothing listens.
func freePorts(host netip.Addr) (string, string, error) {
	a, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return "", "", err
	}
	b, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return "", "", errors.Join(err, a.Close())
	}
	return a.Addr().String(), b.Addr().String(), errors.Join(a.Close(), b.Close())
}
