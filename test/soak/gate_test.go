package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"parsleyscale/platform/emulator"
)

// dropTime is how long an instance keeps a connection whose VM it cannot reach.
const dropTime = 3 * time.Second

// gates hold back the data between VMs and instances.
type gates struct {
	vmOf func(from, to net.Addr) string // VM that opened a connection

	mu      sync.Mutex
	cut     map[[2]string]int // VM and instance
	silent  map[string]int    // instances that read and answer nothing
	changed chan struct{}
}

func newGates(vmOf func(from, to net.Addr) string) *gates {
	return &gates{vmOf: vmOf, cut: map[[2]string]int{}, silent: map[string]int{}, changed: make(chan struct{})}
}

// setCut cuts a VM off from an instance, or ends one such cut.
func (g *gates) setCut(on bool, vm, instance string) {
	g.change(func() { g.cut[[2]string{vm, instance}] += step(on) })
}

// setSilent makes an instance silent, or ends that once.
func (g *gates) setSilent(on bool, instance string) {
	g.change(func() { g.silent[instance] += step(on) })
}

func step(on bool) int {
	if on {
		return 1
	}
	return -1
}

func (g *gates) change(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.changed)
	g.changed = make(chan struct{})
}

// wrap returns a connection that passes the gate of its VM and instance.
func (g *gates) wrap(i *emulator.Instance, c net.Conn) net.Conn {
	return &gatedConn{Conn: c, gates: g, vm: g.vmOf(c.RemoteAddr(), c.LocalAddr()), instance: i.ID, closed: make(chan struct{})}
}

// gatedConn is a connection that an instance has accepted.
type gatedConn struct {
	net.Conn
	gates        *gates
	vm, instance string

	once   sync.Once
	closed chan struct{}
}

// vmAddr is the name of a VM as the address of a peer.
type vmAddr string

func (vmAddr) Network() string  { return "tcp" }
func (a vmAddr) String() string { return string(a) }

// RemoteAddr returns the name of the VM.
func (c *gatedConn) RemoteAddr() net.Addr { return vmAddr(c.vm) }

// pass waits until the gate is open.
func (c *gatedConn) pass() error {
	var dropped <-chan time.Time
	for {
		c.gates.mu.Lock()
		isCut, isSilent, changed := c.gates.cut[[2]string{c.vm, c.instance}] > 0, c.gates.silent[c.instance] > 0, c.gates.changed
		c.gates.mu.Unlock()
		switch {
		case !isCut && !isSilent:
			return nil
		case !isCut:
			dropped = nil
		case dropped == nil:
			dropped = time.After(dropTime)
		}
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		case <-dropped:
			_ = c.Close()
			return errors.New("VM out of reach")
		}
	}
}

// Read implements net.Conn. Data that arrives while the gate is closed is returned when it opens.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if gateErr := c.pass(); gateErr != nil {
		return 0, gateErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// inodeOf returns the inode of the socket with a local and a remote address, as /proc names it, or "" if there is none.
func inodeOf(local, remote net.Addr) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	want := procAddress(local) + " " + procAddress(remote)
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 9 && f[1]+" "+f[2] == want {
			return f[9]
		}
	}
	return ""
}

// procAddress returns an address in the form of /proc/net/tcp.
func procAddress(a net.Addr) string {
	t, ok := a.(*net.TCPAddr)
	if !ok || t.IP.To4() == nil {
		return ""
	}
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	d, err := os.Open(dir)
	if err != nil {
		return false
	}
	defer func() { _ = d.Close() }()
	names, _ := d.Readdirnames(-1)
	for _, name := range names {
		if target, _ := os.Readlink(dir + name); target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
