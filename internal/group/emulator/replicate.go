package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/network/dialer"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/telemetry/logger"
)

const (
	// pullReadTimeout bounds each read of a replica. It leaves 120 ms beyond
	// pullWait for the network, and a silent connection is replaced within about 300 ms.
	pullReadTimeout = 220 * time.Millisecond
	// upstreamDialTimeout covers the three round trips until a pull can start, also between far regions.
	upstreamDialTimeout = time.Second
	// pullRetry is the mean pause before a reconnection.
	pullRetry = 50 * time.Millisecond
	// maxQueuedBatches bounds the batches that wait for their receive delay.
	maxQueuedBatches = 256
)

// replicator pulls the log of one upstream at one term. It ends with its
// context, or when the instance no longer follows that upstream at that term.
type replicator struct {
	g        *group
	term     uint64
	upstream string
	delay    *atomic.Int64 // receive delay in ns
	queue    chan batch
	cursor   tokenizer.Position // last entry pulled
	matched  bool               // the upstream holds cursor
}

// batch is the part of the upstream's log after prev.
type batch struct {
	prev    tokenizer.Position
	lines   [][]byte
	entries []entry
	due     time.Time
}

// replicateLoop runs a replicator for each upstream that the instance follows, until ctx is done.
func (g *group) replicateLoop(ctx context.Context, delay *atomic.Int64) {
	for ctx.Err() == nil {
		g.mu.Lock()
		m, changed := g.meta, g.changed
		g.mu.Unlock()
		if m.Role == connector.RoleReplica && m.Upstream != "" && m.FenceTerm == m.Term {
			r := &replicator{g: g, term: m.Term, upstream: m.Upstream, delay: delay}
			r.run(ctx)
			continue
		}
		g.waitChange(ctx, changed, noEntryDue)
	}
}

// follows reports whether r's upstream and term are still the instance's.
func (r *replicator) follows() bool {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.g.accepts(r.term) && r.g.meta.Upstream == r.upstream
}

func (r *replicator) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.queue = make(chan batch, maxQueuedBatches)
	r.g.mu.Lock()
	r.cursor = r.g.log.last()
	r.g.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		defer cancel()
		r.receiveLoop(ctx)
	})
	wg.Go(func() { r.watch(ctx, cancel) })
	r.pullLoop(ctx)
	cancel()
	wg.Wait()
}

// watch cancels the replicator at once when the instance is fenced or follows
// another upstream.
func (r *replicator) watch(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		r.g.mu.Lock()
		changed := r.g.changed
		r.g.mu.Unlock()
		if !r.follows() {
			cancel()
			return
		}
		r.g.waitChange(ctx, changed, noEntryDue)
	}
}

// pullLoop keeps a connection to the upstream.
func (r *replicator) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.pullOnce(ctx)
		r.setConnected(false)
		if ctx.Err() != nil {
			return
		}
		r.g.events.Info(logger.PullFailed, logger.String("upstream", r.upstream), logger.Err(err))
		sleeper.Sleep(ctx, pullRetry/2+rand.N(pullRetry))
	}
}

// pullOnce pulls on one connection until it fails.
func (r *replicator) pullOnce(ctx context.Context) error {
	c, err := dialUpstream(ctx, r.upstream, r.g.dial)
	if err != nil {
		return err
	}
	defer c.Close()
	for {
		h, lines, err := pull(ctx, c, r.term, r.cursor)
		if err != nil {
			return err
		}
		if err := r.take(ctx, h, lines); err != nil {
			return err
		}
	}
}

// take handles one answer of the upstream.
func (r *replicator) take(ctx context.Context, h pullHeader, lines [][]byte) error {
	if !h.Accepted {
		return fmt.Errorf("upstream %s is not primary of term %d", r.upstream, r.term)
	}
	if !h.Match {
		return r.stepBack(h.Hint)
	}
	r.setConnected(true)
	if !r.matched {
		r.matched = true
		if err := r.g.drop(r.term, r.cursor); err != nil {
			return err
		}
	}
	return r.enqueue(ctx, lines)
}

// stepBack moves the cursor to the last entry that may be common with an
// upstream that lacks the present one.
func (r *replicator) stepBack(hint tokenizer.Position) error {
	if r.matched {
		return fmt.Errorf("upstream %s lost the entry %s", r.upstream, r.cursor)
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	back := r.g.log.before(hint)
	if back.Compare(r.cursor) >= 0 {
		return fmt.Errorf("upstream %s answers %s with the hint %s", r.upstream, r.cursor, hint)
	}
	r.cursor = back
	return nil
}

func (r *replicator) enqueue(ctx context.Context, lines [][]byte) error {
	if len(lines) == 0 {
		return nil
	}
	entries, err := decodeLines(lines)
	if err != nil {
		return err
	}
	b := batch{prev: r.cursor, lines: lines, entries: entries, due: time.Now().Add(time.Duration(r.delay.Load()))}
	select {
	case r.queue <- b:
		r.cursor = entries[len(entries)-1].position()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receiveLoop holds the pulled batches when their receive delay is over.
func (r *replicator) receiveLoop(ctx context.Context) {
	for {
		var b batch
		select {
		case b = <-r.queue:
		case <-ctx.Done():
			return
		}
		sleeper.Sleep(ctx, time.Until(b.due))
		if ctx.Err() != nil {
			return
		}
		ok, err := r.g.hold(r.term, b.prev, b.lines, b.entries)
		if err != nil {
			r.g.events.Warn(logger.HoldFailed, logger.Err(err))
		}
		if err != nil || !ok {
			return // run starts over from the end of the log
		}
	}
}

func (r *replicator) setConnected(connected bool) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if r.g.accepts(r.term) && r.g.meta.Upstream == r.upstream {
		r.g.connected = connected
	}
}

// pull sends one pull and reads its answer.
func pull(ctx context.Context, c *connector.ControlConn, term uint64, prev tokenizer.Position) (pullHeader, [][]byte, error) {
	lines, err := c.Query(ctx, pullQuery(term, prev))
	if err != nil {
		return pullHeader{}, nil, err
	}
	if len(lines) == 0 {
		return pullHeader{}, nil, errors.New("answer to a pull has no rows")
	}
	var h pullHeader
	if err := json.Unmarshal(lines[0], &h); err != nil {
		return pullHeader{}, nil, fmt.Errorf("decode header of a pull: %w", err)
	}
	return h, lines[1:], nil
}

// dialUpstream opens a control connection whose every read and write has a deadline of its own.
func dialUpstream(ctx context.Context, address string, dial dialer.Func) (*connector.ControlConn, error) {
	ctx, cancel := context.WithTimeout(ctx, upstreamDialTimeout)
	defer cancel()
	return connector.OpenControl(ctx, address, func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &deadlineConn{Conn: c, timeout: pullReadTimeout}, nil
	})
}

// deadlineConn gives each read and write its own deadline. A deadline that
// pgconn sets to abort a call is kept.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
	aborted atomic.Bool
}

// SetDeadline notes an abort, which pgconn expresses as a deadline in the past.
func (c *deadlineConn) SetDeadline(t time.Time) error {
	c.aborted.Store(!t.IsZero() && !t.After(time.Now()))
	return c.Conn.SetDeadline(t)
}

// Read reads with the timeout.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if !c.aborted.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.timeout)) // fails only on a closed connection, as Read then does
	}
	return c.Conn.Read(b)
}

// Write writes with the timeout.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if !c.aborted.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)) // fails only on a closed connection, as Write then does
	}
	return c.Conn.Write(b)
}
