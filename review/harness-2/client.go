package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a client's session.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// answer is the answer to a statement.
type answer struct {
	rows      []string
	signature string
	code      string // of an error; "" for success
	state     string
}

func dial(address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "START %s u1\r\n", database); err == nil {
		var line string
		if line, err = c.r.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY ") {
			err = fmt.Errorf("START was answered with %q", line)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

var lastID atomic.Uint64

func newID(kind string) string { return fmt.Sprintf("%s%012x", kind, lastID.Add(1)) }

// query sends a statement and returns its answer.
func (c *client) query(id, text string) (a answer, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return a, err
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (c *client) close() {
	_, _ = c.conn.Write([]byte("BYE\r\n"))
	_ = c.conn.Close()
}
