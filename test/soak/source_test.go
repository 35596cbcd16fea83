package soak

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// sources finds out which VM has opened a connection. All of them connect from the IP number of the loopback device, so the
// process is found that has the other end of the connection open.
type sources struct {
	timeline *timeline
	pids     func() map[string]int // by VM

	mu        sync.Mutex
	count     int
	unknown   int
	pending   []*source
	isRunning bool
}

// counts returns the number of connections, and that of those whose VM was not found, since they or the process had ended before.
func (s *sources) counts() (all, unknown int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count, s.unknown
}

// maxLooks is how often a connection is looked for. The list in /proc can lack some while others come and go.
const maxLooks = 3

// source is the VM that has opened a connection.
type source struct {
	name  string // in the timeline, until the VM is known
	key   string // addresses as in /proc/net/tcp
	looks int    // so far
	done  chan struct{}
	vm    string // read after done; "?" if it is not known
}

// find begins to find out who has opened a connection.
func (s *sources) find(c net.Conn) *source {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	a := &source{name: fmt.Sprintf("<%d>", s.count), key: procAddress(c.RemoteAddr()) + " " + procAddress(c.LocalAddr()), done: make(chan struct{}), vm: "?"}
	s.pending = append(s.pending, a)
	if !s.isRunning {
		s.isRunning = true
		go s.run()
	}
	return a
}

// Network implements net.Addr.
func (*source) Network() string { return "tcp" }

// String returns the name for the timeline.
func (a *source) String() string { return a.name }

// await returns the VM.
func (a *source) await() string {
	<-a.done
	return a.vm
}

// known returns the VM, or "" while it is not known yet.
func (a *source) known() string {
	select {
	case <-a.done:
		return a.vm
	default:
		return ""
	}
}

// run looks for the VMs of the pending connections, many at a time, until there are none.
func (s *sources) run() {
	for {
		s.mu.Lock()
		list := s.pending
		s.pending = nil
		if len(list) == 0 {
			s.isRunning = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.resolve(list)
		time.Sleep(5 * time.Millisecond)
	}
}

// resolve looks for the VMs of connections.
func (s *sources) resolve(list []*source) {
	byKey := map[string]*source{}
	for _, a := range list {
		byKey[a.key] = a
	}
	byInode := map[string]*source{}
	b, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(b)) {
		// The line begins with a number, the addresses and the state. An address has 13 bytes.
		_, rest, _ := strings.Cut(line, ": ")
		if len(rest) < 27 {
			continue
		}
		if a := byKey[rest[:27]]; a != nil {
			if f := strings.Fields(rest); len(f) > 8 {
				byInode["socket:["+f[8]+"]"] = a
			}
		}
	}
	for vm, pid := range s.pids() {
		for _, name := range socketsOf(pid) {
			if a := byInode[name]; a != nil {
				a.vm = vm
			}
		}
	}
	for _, a := range list {
		if a.looks++; a.vm == "?" {
			s.mu.Lock()
			if a.looks < maxLooks {
				s.pending = append(s.pending, a)
				s.mu.Unlock()
				continue
			}
			s.unknown++
			s.mu.Unlock()
		}
		s.timeline.rename(a.name, a.vm)
		close(a.done)
	}
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

// socketsOf returns what the open descriptors of a process refer to.
func socketsOf(pid int) []string {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	d, err := os.Open(dir)
	if err != nil {
		return nil
	}
	defer func() { _ = d.Close() }()
	names, _ := d.Readdirnames(-1)
	for k, name := range names {
		names[k], _ = os.Readlink(dir + name)
	}
	return names
}
