package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"parsleyscale/platform/emulator"
)

// dropTime is how long an instance keeps a connection whose VM it cannot reach.
const dropTime = 3 * time.Second

// Round trips between data centres.
const (
	withinRegion   = 2 * time.Millisecond
	betweenRegions = 16 * time.Millisecond
)

// gates hold back the data between VMs and instances.
type gates struct {
	sources *sources // VMs that opened connections

	mu      sync.Mutex
	cut     map[[2]string]int        // VM and instance, or another VM
	cuts    map[string]int           // the same by instances
	silent  map[string]int           // instances that read and answer nothing
	zones   map[string]string        // of VMs and instances
	slow    map[string]time.Duration // added to the delay of what a VM gets
	changed chan struct{}
}

func newGates(sources *sources) *gates {
	return &gates{sources: sources, cut: map[[2]string]int{}, cuts: map[string]int{}, silent: map[string]int{}, zones: map[string]string{}, slow: map[string]time.Duration{}, changed: make(chan struct{})}
}

// setCut cuts a VM off from an instance or from the relays of another VM, or ends one such cut.
func (g *gates) setCut(on bool, vm, instance string) {
	g.change(func() {
		g.cut[[2]string{vm, instance}] += step(on)
		g.cuts[instance] += step(on)
	})
}

func (g *gates) isCut(vm, instance string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[[2]string{vm, instance}] > 0
}

// place sets the zone of a VM or of an instance.
func (g *gates) place(id, zone string) { g.change(func() { g.zones[id] = zone }) }

// setSlow adds a delay to what a VM gets.
func (g *gates) setSlow(vm string, d time.Duration) { g.change(func() { g.slow[vm] = d }) }

// delay returns the delay of a message to a VM and of the request before.
func (g *gates) delay(vm, other string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, a, b := g.slow[vm], g.zones[vm], g.zones[other]
	switch {
	case a == b:
		return d
	case a == "z3" || b == "z3":
		return d + betweenRegions
	}
	return d + withinRegion
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
	return g.wrapAs(i.ID, c)
}

// wrapAs returns a connection that passes the gate of its VM and of the instance or VM that has accepted it.
func (g *gates) wrapAs(id string, c net.Conn) net.Conn {
	return &gatedConn{Conn: c, gates: g, source: g.sources.find(c), instance: id, closed: make(chan struct{})}
}

// gatedConn is a connection that an instance has accepted.
type gatedConn struct {
	net.Conn
	gates    *gates
	source   *source
	instance string // or VM

	once   sync.Once
	closed chan struct{}
}

// RemoteAddr returns the source.
func (c *gatedConn) RemoteAddr() net.Addr { return c.source }

// pass waits until the gate is open.
func (c *gatedConn) pass() error {
	var dropped <-chan time.Time
	for {
		c.gates.mu.Lock()
		mayBeCut, isSilent, changed := c.gates.cuts[c.instance] > 0, c.gates.silent[c.instance] > 0, c.gates.changed
		c.gates.mu.Unlock()
		isCut := mayBeCut && c.gates.isCut(c.source.await(), c.instance)
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

// Write implements net.Conn. It delays the data as the network does.
func (c *gatedConn) Write(b []byte) (int, error) {
	if vm := c.source.known(); vm != "" {
		time.Sleep(c.gates.delay(vm, c.instance))
	}
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
