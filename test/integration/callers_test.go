package integration

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

func (s *system) session(name string) (*session, error) {
	c, ok := s.sessions[name]
	if !ok {
		return nil, fmt.Errorf("unknown session %q", name)
	}
	return c, nil
}

func openSession(s *system, o stepOptions, args []string) (string, error) {
	p := map[string]string{}
	for _, a := range args[2:] {
		name, value, _ := strings.Cut(a, "=")
		p[name] = value
	}
	limit := o.within
	if limit == 0 {
		limit = statementTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c, err := s.connect(ctx, args[1], p)
	if err != nil {
		return "", err
	}
	s.sessions[args[0]] = &session{conn: c}
	return "", nil
}

func closeSession(s *system, _ stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	delete(s.sessions, args[0])
	return "", c.conn.Close(ctx)
}

func runSQL(s *system, o stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	limit := o.within
	if limit == 0 {
		limit = statementTimeout
	}
	return c.query(strings.Join(args[1:], " "), limit).text()
}

func setKey(s *system, _ stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return c.query("SET parsleyscale.key = '"+id.String()+"'", statementTimeout).text()
}

func sendSQL(s *system, _ stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err == nil {
		c.send(strings.Join(args[1:], " "))
	}
	return "", err
}

func receiveSQL(s *system, o stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	if c.pending == nil {
		return "", errors.New("nothing was sent")
	}
	limit := o.within
	if limit == 0 {
		limit = statementTimeout
	}
	return c.receive(limit).text()
}

// text returns the rows, one a line.
func (a answer) text() (string, error) {
	if len(a.rows) == 0 {
		return "", a.err
	}
	return strings.Join(a.rows, "\n") + "\n", a.err
}

func token(s *system, o stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	text := c.conn.ParameterStatus("parsleyscale.token")
	o.setenv("TOKEN", text)
	return text + "\n", nil
}

// forge sets $FORGED to a session's token with another floor under the old signature.
func forge(s *system, o stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	raw, err := base64.RawURLEncoding.DecodeString(c.conn.ParameterStatus("parsleyscale.token"))
	if err != nil {
		return "", err
	}
	at := bytes.LastIndexAny(raw, "0123456789")
	if at < 0 {
		return "", fmt.Errorf("token of session %s has no number", args[0])
	}
	raw[at] ^= 1 // another digit
	o.setenv("FORGED", base64.RawURLEncoding.EncodeToString(raw))
	return "", nil
}

// checkEnded waits for the message that ends an idle session.
func checkEnded(s *system, o stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.within)
	defer cancel()
	_, err = c.conn.ReceiveMessage(ctx)
	if err == nil || !strings.Contains(textOf(err), args[1]) {
		return "", fmt.Errorf("session %s: got %v", args[0], err)
	}
	return "", nil
}

// cancelSession sends the cancel request of a session to a VM, as a balancer may do.
func cancelSession(s *system, _ stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	conn, err := net.DialTimeout("tcp", s.address(args[1], callerPort+relayPort), time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	b, err := (&pgproto3.CancelRequest{ProcessID: c.conn.PID(), SecretKey: c.conn.SecretKey()}).Encode(nil)
	if err == nil {
		_, err = conn.Write(b)
	}
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, conn) // until the VM has taken the request
	return "", err
}

// avoids reads several times and fails when an instance serves one of the reads.
func avoids(s *system, _ stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(args[2])
	for range n {
		if a := c.query("SELECT count(*) FROM entries", statementTimeout); a.err != nil {
			return "", a.err
		}
		a := c.query("SHOW parsleyscale.served_by", statementTimeout)
		if a.err != nil || slices.Contains(a.rows, args[1]) {
			return "", errors.Join(fmt.Errorf("read served by %v", a.rows), a.err)
		}
	}
	return "", err
}

// uses waits until an instance has few ordinary connections.
func uses(s *system, o stepOptions, args []string) (string, error) {
	limit, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	return "", retry(o.within, func() error {
		st, err := s.status(args[0])
		if err == nil && st.Connections > limit {
			err = fmt.Errorf("%s has %d connections", args[0], st.Connections)
		}
		return err
	})
}

// sendRaw sends bytes after the start-up of a new connection and returns the first error of the VM.
func sendRaw(s *system, o stepOptions, args []string) (string, error) {
	b, err := hex.DecodeString(args[1])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.within)
	defer cancel()
	c, err := s.connect(ctx, args[0], nil)
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	if _, err := c.Conn().Write(b); err != nil {
		return "", err
	}
	for {
		m, err := c.ReceiveMessage(ctx)
		if err != nil {
			return "", err
		}
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			return "", pgconn.ErrorResponseToPgError(e)
		}
	}
}

func oversize(s *system, _ stepOptions, args []string) (string, error) {
	c, err := s.session(args[0])
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	return c.query("SELECT '"+strings.Repeat("x", n)+"'", statementTimeout).text()
}
