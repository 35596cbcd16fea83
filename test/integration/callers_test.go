package integration

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
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

// token puts a session's token into the environment: token SESSION VARIABLE.
func token(ts *testscript.TestScript, _ bool, args []string) {
	c, err := systemOf(ts).session(args[0])
	ts.Check(err)
	ts.Setenv(args[1], c.conn.ParameterStatus("parsleyscale.token"))
}
