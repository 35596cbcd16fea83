package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// startTimeout is how long a client waits for the answer to START.
	startTimeout = 2 * time.Second
	// statementTimeout is how long a client waits for the answer to a statement.
	statementTimeout = 3 * time.Second
	// writePause is the pause of a client between two operations.
	writePause = 40 * time.Millisecond
)

// answered is a write and its answer.
type answered struct {
	id, item, data string
	isAcknowledged bool
	sentAt         time.Time
	at             time.Time
}

// client writes items through one VM, one after another, each of them once.
type client struct {
	name    string
	address string
	host    string
	record  *record

	mu     sync.Mutex
	writes []answered
}

// run writes until done is closed.
func (c *client) run(done <-chan struct{}) {
	for n := 0; ; {
		n = c.runSession(done, n)
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// runSession writes in one session until it ends, and returns the number of the next write.
func (c *client) runSession(done <-chan struct{}, n int) int {
	conn, err := net.DialTimeout("tcp", c.address, startTimeout)
	if err != nil {
		return n
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	if _, err := fmt.Fprintf(conn, "START %s u1\r\n", c.host); err != nil {
		return n
	}
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return n
	}
	for {
		select {
		case <-done:
			return n
		case <-time.After(writePause):
		}
		w := answered{id: fmt.Sprintf("%s-%d", c.name, n), item: fmt.Sprintf("%s.%d", c.name, n), data: fmt.Sprintf("d%d", n), sentAt: time.Now()}
		n++
		_ = conn.SetDeadline(time.Now().Add(statementTimeout))
		if _, err := fmt.Fprintf(conn, "QUERY %s WRITE %s %s\r\n", w.id, w.item, w.data); err != nil {
			return n
		}
		answer, err := readAnswer(r)
		w.isAcknowledged, w.at = err == nil && strings.HasPrefix(answer, "DONE"), time.Now()
		if err != nil {
			answer = "no answer: " + err.Error()
		}
		c.record.printf("%s sent WRITE %s %s, after %d ms: %s", c.name, w.item, w.data, w.at.Sub(w.sentAt).Milliseconds(), answer)
		c.mu.Lock()
		c.writes = append(c.writes, w)
		c.mu.Unlock()
		if err != nil {
			return n
		}
	}
}

// acknowledged returns the acknowledged writes.
func (c *client) acknowledged() []answered {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []answered
	for _, w := range c.writes {
		if w.isAcknowledged {
			list = append(list, w)
		}
	}
	return list
}

// readAnswer reads an answer and returns its DONE or ERR line.
func readAnswer(r *bufio.Reader) (string, error) {
	result := ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		line = strings.TrimSuffix(line, "\r\n")
		if strings.HasPrefix(line, "READY") {
			return result, nil
		}
		if !strings.HasPrefix(line, "ROW") {
			result = line
		}
	}
}
