package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// answerTimeout bounds the wait for an answer, as a client's deadline.
const answerTimeout = 5 * time.Second

// client is a session of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// dial opens a session.
func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReader(conn)}
	if err := c.send("START " + database + " u3f1\r\n"); err != nil {
		return nil, err
	}
	line, err := c.readLine(2 * time.Second)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("START was answered with %q", line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) send(message string) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, err := c.conn.Write([]byte(message))
	return err
}

func (c *client) readLine(timeout time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	line, err := c.r.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// readAnswer returns the lines of one answer, of which READY is the last.
func (c *client) readAnswer(timeout time.Duration) ([]string, error) {
	var lines []string
	for {
		line, err := c.readLine(timeout)
		if err != nil {
			return lines, err
		}
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY ") {
			return lines, nil
		}
	}
}

// query sends a statement and returns the lines of its answer.
func (c *client) query(id, text string) ([]string, error) {
	if err := c.send("QUERY " + id + " " + text + "\r\n"); err != nil {
		return nil, err
	}
	return c.readAnswer(answerTimeout)
}

// newID returns an id for a statement.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
