package integration

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// statementTimeout bounds one statement of a case.
const statementTimeout = 15 * time.Second

// answer is the outcome of one simple query.
type answer struct {
	rows []string // columns joined by a vertical bar
	err  error
}

// session is a caller's connection.
type session struct {
	conn    *pgconn.PgConn
	pending chan answer // of the statement that runs in the background
}

type sessions map[string]*session

func (m sessions) close() {
	for _, s := range m {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = s.conn.Close(ctx)
		cancel()
	}
}

// connect opens a caller's connection to a VM through its relay, with parameters of parsleyscale.
func (s *system) connect(ctx context.Context, vm string, parameters map[string]string) (*pgconn.PgConn, error) {
	if _, ok := s.hosts[vm]; !ok {
		return nil, fmt.Errorf("unknown vm %q", vm)
	}
	cfg, err := pgconn.ParseConfig("postgres://clerk@" + s.address(vm, callerPort+relayPort) + "/" + database + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	for k, v := range parameters {
		if err := s.setParameter(cfg, k, v); err != nil {
			return nil, err
		}
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

// setParameter sets a parameter of parsleyscale, or one of the connection: user, password, database, tls.
func (s *system) setParameter(cfg *pgconn.Config, name, value string) error {
	switch name {
	case "user":
		cfg.User = value
	case "password":
		cfg.Password = value
	case "database":
		cfg.Database = value
	case "tls":
		c, err := s.callerTLS(value)
		if err == nil {
			c.ServerName = cfg.Host
			cfg.TLSConfig = c
		}
		return err
	default:
		cfg.RuntimeParams["parsleyscale."+name] = value
	}
	return nil
}

// query runs a simple query and returns the rows of its last result.
func query(ctx context.Context, c *pgconn.PgConn, sql string) answer {
	results, err := c.Exec(ctx, sql).ReadAll()
	a := answer{err: err}
	if len(results) == 0 {
		return a
	}
	for _, row := range results[len(results)-1].Rows {
		var columns []string
		for _, v := range row {
			columns = append(columns, string(v))
		}
		a.rows = append(a.rows, strings.Join(columns, "|"))
	}
	return a
}

func (s *session) query(sql string, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return query(ctx, s.conn, sql)
}

// send runs a statement in the background.
func (s *session) send(sql string) {
	s.pending = make(chan answer, 1)
	go func() { s.pending <- s.query(sql, statementTimeout) }()
}

// receive waits for the statement that was sent.
func (s *session) receive(limit time.Duration) answer {
	select {
	case a := <-s.pending:
		return a
	case <-time.After(limit):
		return answer{err: fmt.Errorf("no answer within %v", limit)}
	}
}

// textOf returns an error with its SQLSTATE and detail.
func textOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return fmt.Sprintf("%s %s: %s (%s)", e.Severity, e.Code, e.Message, e.Detail)
	}
	return err.Error()
}

// ranOf returns what an answer says about a failed request: no, yes or unknown. A lost connection says nothing.
func ranOf(err error) string {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return "unknown"
	}
	_, rest, ok := strings.Cut(e.Detail, "ran=")
	if !ok {
		return "unknown"
	}
	ran, _, _ := strings.Cut(rest, " ")
	return ran
}

// direct opens a connection to an instance past the relay and the proxy.
func (s *system) direct(ctx context.Context, instance string) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, "postgres://clerk@"+s.address(instance, instancePort)+"/"+database+"?sslmode=disable")
}
