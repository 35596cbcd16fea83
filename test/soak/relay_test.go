package soak

import (
	"io"
	"net"
	"sync"
)

// relay passes the connections of other VMs on to an address of a VM, through the gates. internal/fault/relayer does not fit:
// it tells the processes that connect apart by their IP numbers, and all VMs connect from that of the loopback device.
type relay struct {
	s        *system
	listener net.Listener
	vm       *vm
	target   string
}

// startRelay starts a relay at an address.
func startRelay(s *system, address string, v *vm, target string) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{s: s, listener: l, vm: v, target: target}
	go r.run()
	return r, nil
}

// Close ends the relay, but not its connections.
func (r *relay) Close() { _ = r.listener.Close() }

func (r *relay) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

// pass passes on one connection.
func (r *relay) pass(c net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	from := r.s.gates.wrapAs(r.vm.id, c)
	defer func() { _, _ = from.Close(), to.Close() }()
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _ = io.Copy(to, from)
		_, _ = to.Close(), from.Close()
	})
	wg.Go(func() {
		_, _ = io.Copy(from, to)
		_, _ = to.Close(), from.Close()
	})
	wg.Wait()
}
