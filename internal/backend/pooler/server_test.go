package pooler

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// server is a fake instance that only answers start-up, Sync and cancel requests.
type server struct {
	mu       sync.Mutex
	refuse   int  // connections to refuse with 53300
	limit    int  // connections accepted at once; 0: any number
	silent   bool // Sync gets no answer
	conns    []net.Conn
	open     int
	canceled []uint32
	database string
	tls      *tls.Config
}

// dial connects to the server through a pipe, which works inside a synctest bubble.
func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *server) listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := pgproto3.NewBackend(c, c)
	m, err := b.ReceiveStartupMessage()
	if _, ok := m.(*pgproto3.SSLRequest); ok && s.tls != nil {
		_, _ = c.Write([]byte{'S'})
		c = tls.Server(c, s.tls)
		b = pgproto3.NewBackend(c, c)
		m, err = b.ReceiveStartupMessage()
	}
	if err != nil || !s.startUp(m, c, b) {
		return
	}
	defer func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	for {
		if _, err := b.Receive(); err != nil {
			return
		}
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			_ = b.Flush()
		}
	}
}

func (s *server) startUp(m pgproto3.FrontendMessage, c net.Conn, b *pgproto3.Backend) bool {
	s.mu.Lock()
	ok := s.admit(m, c, b)
	s.mu.Unlock()
	return b.Flush() == nil && ok
}

func (s *server) admit(m pgproto3.FrontendMessage, c net.Conn, b *pgproto3.Backend) bool {
	if k, ok := m.(*pgproto3.CancelRequest); ok {
		s.canceled = append(s.canceled, k.ProcessID)
		return false
	}
	if s.refuse > 0 || s.limit > 0 && s.open >= s.limit {
		s.refuse--
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: tooManyConnections, Message: "too many"})
		return false
	}
	if st, ok := m.(*pgproto3.StartupMessage); ok {
		s.database = st.Parameters["database"]
	}
	s.open++
	s.conns = append(s.conns, c)
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: uint32(len(s.conns)), SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return true
}

func (s *server) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *server) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
