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
	chunkBytes  = 16 << 10        // limit of one read
	queueChunks = 64              // limit of the chunks queued in one direction of a connection
	dialTimeout = 5 * time.Second // limit of the time to connect to the target
)

// Relay accepts connections in front of one target and forwards them to it.
type Relay struct {
	network *Network
	host    netip.Addr // IP address that stands for the target in network
	target  string     // host:port
	ln      net.Listener
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Listen starts a relay from address to target. The IP address of the listener stands for the target as a host of the
// network.
func (n *Network) Listen(address, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{network: n, target: target, ln: ln, host: addrOf(ln.Addr())}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Close stops listening, closes all connections and waits until their goroutines have ended.
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

// serve relays one connection. It connects to the target one round trip after
// the connection was accepted, to simulate the TCP handshake.
func (r *Relay) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	defer c.Close()
	toTarget := r.network.pathOf(addrOf(c.RemoteAddr()), r.host)
	toSource := r.network.pathOf(r.host, addrOf(c.RemoteAddr()))
	openEpoch := toTarget.epoch() + toSource.epoch()
	if !sleeper.Until(ctx, time.Now().Add(toTarget.oneWayDelay()+toSource.oneWayDelay())) || !toTarget.wait(ctx) || !toSource.wait(ctx) {
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	target, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	stop := context.AfterFunc(ctx, func() {
		c.Close()
		target.Close()
	})
	defer stop()
	isSilent := func() bool { return toTarget.epoch()+toSource.epoch() != openEpoch }
	var wg sync.WaitGroup
	wg.Go(func() { relayDirection(ctx, cancel, c, target, toTarget, isSilent) })
	wg.Go(func() { relayDirection(ctx, cancel, target, c, toSource, isSilent) })
	wg.Wait()
}

// chunk is data in transit. Empty data marks the end of the stream.
type chunk struct {
	data   []byte
	readAt time.Time
}

// relayDirection relays one direction of a connection. A failed write ends both
// directions; the end of the stream, or a failed read, closes only this one.
func relayDirection(ctx context.Context, cancel context.CancelFunc, from, to net.Conn, p *path, isSilent func() bool) {
	q := make(chan chunk, queueChunks)
	var wg sync.WaitGroup
	wg.Go(func() { readChunks(ctx, from, q) })
	for k := range q {
		if !p.traverse(ctx, len(k.data), k.readAt) {
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
	for range q { // drain the queue until readChunks ends, at the latest when its connection is closed
	}
	wg.Wait()
}

// readChunks reads from a connection and queues the data. When the stream ends or a read fails, it queues an empty chunk
// and closes the queue. It also closes the queue when ctx ends.
func readChunks(ctx context.Context, c net.Conn, q chan<- chunk) {
	defer close(q)
	for {
		b := make([]byte, chunkBytes)
		n, err := c.Read(b)
		if n > 0 && !send(ctx, q, chunk{b[:n], time.Now()}) {
			return
		}
		if err != nil {
			send(ctx, q, chunk{readAt: time.Now()})
			return
		}
	}
}

// send adds a chunk to a queue. It returns false if ctx ends first.
func send(ctx context.Context, q chan<- chunk, k chunk) bool {
	select {
	case q <- k:
		return true
	case <-ctx.Done():
		return false
	}
}

// addrOf returns the IP address of a network address, or the zero Addr if it has none.
func addrOf(a net.Addr) netip.Addr {
	p, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr().Unmap()
}
