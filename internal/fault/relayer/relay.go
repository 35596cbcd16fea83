package relayer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
)

const (
	chunkBytes  = 16 << 10
	queueChunks = 64
	dialTimeout = 5 * time.Second
)

// Relay listens in front of one target.
type Relay struct {
	n      *Network
	host   netip.Addr // of the target, in the network's terms
	target string
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Listen starts a relay on address. Its IP number is the host that the network's rules are about.
func (n *Network) Listen(address, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{n: n, target: target, ln: ln, host: addrOf(ln.Addr())}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Close closes all connections and waits for them.
func (r *Relay) Close() error {
	r.cancel()
	err := r.ln.Close()
	r.wg.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(c) })
	}
}

// serve carries one connection. Data starts to flow one round trip after the
// connection was opened, as after a handshake.
func (r *Relay) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	defer c.Close()
	there := r.n.pathOf(addrOf(c.RemoteAddr()), r.host)
	back := r.n.pathOf(r.host, addrOf(c.RemoteAddr()))
	opened := there.epoch() + back.epoch()
	if !sleeper.Until(ctx, time.Now().Add(there.oneWay()+back.oneWay())) || !there.wait(ctx) || !back.wait(ctx) {
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	t, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer t.Close()
	stop := context.AfterFunc(ctx, func() {
		c.Close()
		t.Close()
	})
	defer stop()
	isSilent := func() bool { return there.epoch()+back.epoch() != opened }
	var wg sync.WaitGroup
	wg.Go(func() { pump(ctx, cancel, c, t, there, isSilent) })
	wg.Go(func() { pump(ctx, cancel, t, c, back, isSilent) })
	wg.Wait()
}

// chunk is data on its way; empty data is the end of the stream.
type chunk struct {
	data []byte
	read time.Time
}

// pump carries one direction. A reset or a failed write ends both directions.
func pump(ctx context.Context, cancel context.CancelFunc, from, to net.Conn, p *path, isSilent func() bool) {
	q := make(chan chunk, queueChunks)
	var wg sync.WaitGroup
	wg.Go(func() { readChunks(ctx, from, q) })
	for k := range q {
		if !p.carry(ctx, len(k.data), k.read) {
			break
		}
		if isSilent() {
			<-ctx.Done()
			break
		}
		if len(k.data) == 0 {
			_ = to.(*net.TCPConn).CloseWrite()
			continue
		}
		if _, err := to.Write(k.data); err != nil {
			cancel()
			break
		}
	}
	if ctx.Err() != nil {
		from.Close()
	}
	for range q { // the reader ends once its connection is closed
	}
	wg.Wait()
}

func readChunks(ctx context.Context, c net.Conn, q chan<- chunk) {
	defer close(q)
	for {
		b := make([]byte, chunkBytes)
		n, err := c.Read(b)
		if n > 0 && !send(ctx, q, chunk{b[:n], time.Now()}) {
			return
		}
		if err != nil {
			send(ctx, q, chunk{read: time.Now()})
			return
		}
	}
}

func send(ctx context.Context, q chan<- chunk, k chunk) bool {
	select {
	case q <- k:
		return true
	case <-ctx.Done():
		return false
	}
}

func addrOf(a net.Addr) netip.Addr {
	p, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr().Unmap()
}
