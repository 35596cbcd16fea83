package overload

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Sizes of the crowds. The messages of memoryCrowd clients, each of messageBytes, do not fit into memoryMB together; the
// connections of connectionCrowd clients are more than maxDescriptors.
const (
	memoryCrowd     = 200
	connectionCrowd = 500
	messageBytes    = bigBytes
	overLimitBytes  = 8 << 20
	pieceBytes      = 16 << 10
	// entries is the number of session values and prepared statements that one session may have.
	entries = 1000
)

// Guards against a process that keeps the largest message of each of many clients, or all of those in progress.
func TestLargeMessages(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		if c.start() != nil {
			return
		}
		for range 2 {
			if c.send(c.query(c.read("item", messageBytes))) != nil || isBroken(c.readAnswer(c.r)) {
				return
			}
		}
	})
}

// Guards against a process that keeps the parts of large messages that arrive slowly at the same time.
func TestLargeMessagesInSmallPieces(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		if c.start() == nil && c.sendInPieces(c.query(c.read("item", messageBytes)), pieceBytes, 5*time.Millisecond) == nil {
			_ = c.readAnswer(c.r)
		}
	})
}

// Guards against a process that keeps messages that are far over the limit until they are complete.
func TestMessagesOverLimit(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		if c.start() == nil {
			_ = c.send(c.overLimit(overLimitBytes))
		}
	})
}

// Guards against a process that takes in statements, or keeps their answers, while the client reads none of them.
func TestPipelinedMessages(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		c.shrinkReceiveBuffer()
		if c.start() != nil {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		message := c.query(c.read("item", 300))
		for range 5000 {
			if c.send(message) != nil {
				return
			}
		}
	})
}

// Guards against a process that keeps large pipelined messages while the client reads none of the answers.
func TestLargePipelinedMessages(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		c.shrinkReceiveBuffer()
		if c.start() != nil {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		message := c.query(c.read(bigItem, messageBytes/4))
		for range 20 {
			if c.send(message) != nil {
				return
			}
		}
	})
}

// Guards against a process whose descriptors are all held by clients that send a message one byte at a time.
func TestSlowSenders(t *testing.T) {
	testCrowd(t, connectionCrowd, func(c *conn) {
		if c.start() == nil {
			_ = c.sendInPieces(c.query(c.read("item", 300))[:40], 1, 100*time.Millisecond)
		}
	})
}

// Guards against a process that holds the answers for many clients that read them one byte at a time.
func TestSlowReaders(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		c.shrinkReceiveBuffer()
		if c.start() != nil {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		for range 8 {
			if c.send(c.query(c.read(bigItem, 0))) != nil {
				return
			}
		}
		for range 40 {
			if _, err := c.r.ReadByte(); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a process that keeps the first parts of messages whose clients stop half-way.
func TestStoppedSenders(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		if c.start() == nil {
			_ = c.send(c.query(c.read("item", messageBytes))[:messageBytes*9/10])
			time.Sleep(time.Second)
		}
	})
}

// Guards against a process that holds the answers for many clients that stop reading half-way.
func TestStoppedReaders(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		c.shrinkReceiveBuffer()
		if c.start() != nil {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		for range 8 {
			if c.send(c.query(c.read(bigItem, 0))) != nil {
				return
			}
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // refusals may be shorter than the bytes to read
		if _, err := c.r.Discard(1000); err == nil {
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against a process whose descriptors are all held by connections that never start a session.
func TestSessionsWithoutStart(t *testing.T) {
	testCrowd(t, connectionCrowd, func(*conn) { time.Sleep(2 * time.Second) })
}

// Guards against a process that keeps the first parts of large START messages.
func TestLargeStart(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		if c.send([]byte("START ")) == nil && c.send([]byte(strings.Repeat("x", messageBytes*9/10))) == nil {
			time.Sleep(time.Second)
		}
	})
}

// Guards against a process that is ended by one session with many large values. Such a session ended six processes.
func TestSessionValues(t *testing.T) {
	testCrowd(t, 1, func(c *conn) {
		value := strings.Repeat("x", messageBytes)
		setMany(c, entries, func(k int) []byte { return c.set(fmt.Sprintf("value%d", k), value) })
	})
}

// Guards against a process that is ended by one session with many large prepared statements.
func TestPreparedStatements(t *testing.T) {
	testCrowd(t, 1, func(c *conn) {
		setMany(c, entries, func(k int) []byte {
			return c.prepare(fmt.Sprintf("p%d", k), fmt.Sprintf("q%d", k)+strings.Repeat("x", messageBytes))
		})
	})
}

// Guards against a process that is ended by many sessions, each with a few large values and prepared statements.
func TestValuesAndStatementsOfManySessions(t *testing.T) {
	testCrowd(t, memoryCrowd, func(c *conn) {
		value := strings.Repeat("x", messageBytes)
		setMany(c, 2, func(k int) []byte {
			if k == 0 {
				return c.set("value", value)
			}
			return c.prepare("p", c.LocalAddr().String()+value)
		})
		time.Sleep(time.Second)
	})
}

// setMany starts a session and sends n messages, each after the answer to the one before.
func setMany(c *conn, n int, message func(k int) []byte) {
	if c.start() != nil {
		return
	}
	for k := range n {
		if c.send(message(k)) != nil || isBroken(c.readAnswer(c.r)) {
			return
		}
	}
}
