package overload

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// crowdTimeout bounds the time of a client of a crowd. It is only a limit against tests that hang.
	crowdTimeout = 60 * time.Second
	// queryTimeout bounds one attempt of an ordinary request, and queryRetryTime all attempts.
	queryTimeout   = 10 * time.Second
	queryRetryTime = 60 * time.Second
	// receiveBufferBytes is the size of the kernel's receive buffer of clients that read slowly or not at all.
	receiveBufferBytes = 4096
)

// protocol is what clients send and receive.
type protocol interface {
	// startMessage opens a session, and readStart reads the answer.
	startMessage() []byte
	readStart(r *bufio.Reader) error
	// query is a message with a statement, and readAnswer reads its answer. The error is errRefused if the answer is one.
	query(statement string) []byte
	readAnswer(r *bufio.Reader) error
	// read returns a statement that reads an item, with padding that makes it bytes long.
	read(item string, bytes int) string
	// write returns a statement that writes a value.
	write(item, value string) string
	set(name, value string) []byte
	prepare(name, text string) []byte
	// overLimit returns the beginning of a message of so many bytes.
	overLimit(bytes int) []byte
}

// errRefused is the error for an answer that refuses a request.
var errRefused = errors.New("refused")

// lineProtocol is the line protocol of clients, instances and links between VMs.
type lineProtocol struct{ start string }

func (p lineProtocol) startMessage() []byte { return []byte(p.start) }

func (lineProtocol) readStart(r *bufio.Reader) error {
	line, err := r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("%w: %.80s", errRefused, line)
	}
	return err
}

func (lineProtocol) query(statement string) []byte {
	return []byte("QUERY 0123456789abcdef " + statement + "\r\n")
}

func (lineProtocol) readAnswer(r *bufio.Reader) error {
	var refusal error
	for {
		line, err := r.ReadString('\n')
		switch {
		case err != nil:
			return err
		case strings.HasPrefix(line, "ERR "):
			refusal = fmt.Errorf("%w: %.80s", errRefused, line)
		case strings.HasPrefix(line, "READY "):
			return refusal
		}
	}
}

func (lineProtocol) read(item string, bytes int) string {
	return "READ " + item + strings.Repeat("x", max(0, bytes-len(item)))
}
func (lineProtocol) write(item, value string) string { return "WRITE " + item + " " + value }
func (p lineProtocol) set(name, value string) []byte { return p.query("SET " + name + " " + value) }
func (p lineProtocol) prepare(name, text string) []byte {
	return p.query("PREPARE " + name + " READ " + text)
}
func (lineProtocol) overLimit(bytes int) []byte {
	return []byte("QUERY 0123456789abcdef READ " + strings.Repeat("x", bytes))
}

// postgresProtocol is version 3 of the PostgreSQL protocol.
type postgresProtocol struct{}

func (postgresProtocol) startMessage() []byte {
	b, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "someone", "database": database}}).Encode(nil)
	return must(b, err)
}

func (p postgresProtocol) readStart(r *bufio.Reader) error { return p.readAnswer(r) }

func (postgresProtocol) query(statement string) []byte {
	return must((&pgproto3.Query{String: statement}).Encode(nil))
}

// readAnswer reads messages until ReadyForQuery.
func (postgresProtocol) readAnswer(r *bufio.Reader) error {
	var refusal error
	for {
		var header [5]byte
		if _, err := io.ReadFull(r, header[:]); err != nil {
			return errors.Join(err, refusal)
		}
		n := int64(binary.BigEndian.Uint32(header[1:])) - 4
		switch header[0] {
		case 'E':
			text := make([]byte, n)
			if _, err := io.ReadFull(r, text); err != nil {
				return err
			}
			refusal = fmt.Errorf("%w: %.200q", errRefused, text)
			continue
		case 'Z':
			_, err := io.CopyN(io.Discard, r, n)
			return errors.Join(err, refusal)
		}
		if _, err := io.CopyN(io.Discard, r, n); err != nil {
			return err
		}
	}
}

func (postgresProtocol) read(item string, bytes int) string {
	return "SELECT value FROM entries WHERE item = '" + item + "' AND value <> '" + strings.Repeat("x", max(0, bytes-len(item))) + "'"
}
func (postgresProtocol) write(item, value string) string {
	return "INSERT INTO entries VALUES ('" + item + "', '" + value + "')"
}
func (p postgresProtocol) set(name, value string) []byte {
	return p.query("SET application_name = '" + name + value + "'")
}
func (p postgresProtocol) prepare(name, text string) []byte {
	b := must((&pgproto3.Parse{Name: name, Query: p.read(name, len(text))}).Encode(nil))
	return must((&pgproto3.Sync{}).Encode(b))
}
func (postgresProtocol) overLimit(bytes int) []byte {
	b := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(bytes+4))
	return append(b, strings.Repeat("x", bytes)...)
}

func must(b []byte, err error) []byte {
	if err != nil {
		panic(err) // an encoder of a constant message
	}
	return b
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	protocol
	r *bufio.Reader
}

// connect opens a connection without sending anything.
func (a *target) connect(limit time.Duration) (*conn, error) {
	c, err := net.DialTimeout("tcp", a.address, limit)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(limit))
	return &conn{Conn: c, protocol: a.protocol, r: bufio.NewReader(c)}, nil
}

// start opens the session.
func (c *conn) start() error {
	if err := c.send(c.startMessage()); err != nil {
		return err
	}
	return c.readStart(c.r)
}

func (c *conn) send(b []byte) error {
	_, err := c.Write(b)
	return err
}

// sendInPieces sends b in pieces of a size, with a pause after each.
func (c *conn) sendInPieces(b []byte, size int, pause time.Duration) error {
	for len(b) > 0 {
		n := min(size, len(b))
		if err := c.send(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		time.Sleep(pause)
	}
	return nil
}

// shrinkReceiveBuffer makes the kernel take in few bytes for the client, so that what it does not read stays with the
// daemon.
func (c *conn) shrinkReceiveBuffer() { _ = c.Conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes) }

// query runs a statement on a connection of its own.
func (a *target) query(statement string) error {
	c, err := a.connect(queryTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := c.start(); err != nil {
		return err
	}
	if err := c.send(c.protocol.query(statement)); err != nil {
		return err
	}
	return c.readAnswer(c.r)
}

// crowd runs a misbehaviour in many clients at once, each with a connection of its own. The connections stay open
// until close. Errors are expected: the daemon may refuse such clients or close their connections.
type crowd struct {
	target  *target
	watch   *watch
	clients sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// run starts n clients and waits until all have ended or the process is over its bounds.
func (c *crowd) run(n int, misbehave func(*conn)) {
	for range n {
		c.clients.Go(func() {
			conn, err := c.target.connect(crowdTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			misbehave(conn)
		})
	}
	ended := make(chan struct{})
	go func() {
		c.clients.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-c.watch.exceeded:
		c.close()
	}
}

// close closes all connections and waits until the clients have ended.
func (c *crowd) close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// targets are the kinds of addresses that the daemons listen on.
var targets = []struct {
	name  string
	start func(t *testing.T) *target
}{{"client", startLine}, {"link", startLink}, {"postgres", startPostgres}}

// testCrowd lets a crowd of n clients misbehave against each kind of address and checks the daemon.
func testCrowd(t *testing.T, n int, misbehave func(*conn)) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	for _, kind := range targets {
		t.Run(kind.name, func(t *testing.T) {
			a := kind.start(t)
			writer := a
			if a.also != nil {
				writer = a.also
			}
			if err := retry(queryRetryTime, func() error { return writer.query(a.write(bigItem, strings.Repeat("v", bigBytes))) }); err != nil {
				t.Fatalf("message of %d bytes without any load: %v", bigBytes, err)
			}
			w := startWatch(a.daemon)
			c := &crowd{target: a, watch: w}
			defer c.close()
			c.run(n, misbehave)
			checkServes(t, a)
			if a.also != nil {
				checkServes(t, a.also)
			}
			u := w.stop()
			t.Logf("peak of %d MB and %d descriptors", u.memoryBytes>>20, u.descriptors)
			if !a.daemon.isRunning() {
				t.Error("the daemon has ended")
			}
			if u.memoryBytes > memoryMB<<20 {
				t.Errorf("the daemon had %d MB of resident memory, the bound is %d MB", u.memoryBytes>>20, memoryMB)
			}
			if u.descriptors > maxDescriptors {
				t.Errorf("the daemon had %d open descriptors, the bound is %d", u.descriptors, maxDescriptors)
			}
		})
	}
}

// checkServes checks that an ordinary client is served while the crowd is still connected.
func checkServes(t *testing.T, a *target) {
	t.Helper()
	err := retry(queryRetryTime, func() error {
		if !a.daemon.isRunning() {
			return nil // reported by the caller
		}
		return a.query(a.read("item", 0))
	})
	if err != nil {
		t.Errorf("ordinary request to %s: %v", a.address, err)
	}
}

// isBroken reports whether err means that the session has ended. A refused statement does not end it.
func isBroken(err error) bool { return err != nil && !errors.Is(err, errRefused) }
