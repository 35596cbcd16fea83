package listener

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
)

const (
	secretKeyBytes  = 4
	startUpBytes    = 10000 // PostgreSQL's own limit of a start-up packet
	passwordBytes   = 10000
	requestTLS      = 80877103
	requestGSS      = 80877104
	requestCancel   = 80877102
	protocolMajor   = 3
	maxEncryptTries = 2 // one GSSENCRequest and one SSLRequest
)

// startUp brings the connection to its first ReadyForQuery.
func (s *session) startUp(isOver bool) error {
	deadline := time.Now().Add(s.l.cfg.Limits.StartUp)
	conn := s.conn // stays the TCP connection when TLS starts
	conn.SetDeadline(deadline)
	stop := context.AfterFunc(s.l.ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	m, err := s.receiveStartUp(deadline)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && s.l.ctx.Err() != nil:
		return errStopping()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.New(classifier.Timeout, "no start-up within %v", s.l.cfg.Limits.StartUp)
	case err != nil:
		return err
	case isOver:
		return classifier.New(classifier.Overloaded, "the VM has %d callers", s.l.cfg.Limits.Callers)
	}
	if err := s.authenticate(); err != nil {
		return err
	}
	if err := s.open(m); err != nil {
		return err
	}
	return s.greet(m)
}

// receiveStartUp answers requests for encryption and returns the start-up message.
func (s *session) receiveStartUp(deadline time.Time) (*pgproto3.StartupMessage, error) {
	for range maxEncryptTries + 1 {
		packet, err := s.readPacket()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(packet); {
		case code == requestTLS && s.l.cfg.TLS != nil && s.tlsConn() == nil:
			if err := s.startTLS(deadline); err != nil {
				return nil, err
			}
		case code == requestTLS, code == requestGSS:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case code == requestCancel:
			return nil, s.receiveCancel(packet)
		case code>>16 == protocolMajor:
			return s.decodeStartUp(packet, code)
		default:
			return nil, classifier.New(classifier.Unsupported, "protocol %d.%d", code>>16, code&0xffff)
		}
	}
	return nil, classifier.New(classifier.BadMessage, "too many requests for encryption")
}

// readPacket reads a packet without a type. It reads no byte more, because what
// follows a request for encryption has to come through the encryption.
func (s *session) readPacket() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(s.conn, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 8 || size > startUpBytes {
		return nil, classifier.New(classifier.BadMessage, "start-up packet of %d bytes", size)
	}
	packet := make([]byte, size-4)
	_, err := io.ReadFull(s.conn, packet)
	return packet, err
}

func (s *session) startTLS(deadline time.Time) error {
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(s.conn, s.l.cfg.TLS)
	ctx, cancel := context.WithDeadline(s.l.ctx, deadline)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		s.l.cfg.Observer.Event(Event{Name: "tlsFailed", Remote: s.remote(), Err: err})
		return errCallerGone
	}
	s.setConn(conn)
	return nil
}

func (s *session) tlsConn() *tls.Conn {
	conn, _ := s.conn.(*tls.Conn)
	return conn
}

func (s *session) receiveCancel(packet []byte) error {
	var m pgproto3.CancelRequest
	if err := m.Decode(packet); err == nil {
		s.l.cancelByMessage(m.ProcessID, m.SecretKey)
	}
	return errCallerGone
}

// decodeStartUp reads any minor version of protocol 3. The answer to a newer one offers 3.0.
func (s *session) decodeStartUp(packet []byte, code uint32) (*pgproto3.StartupMessage, error) {
	binary.BigEndian.PutUint32(packet, pgproto3.ProtocolVersion30)
	m := &pgproto3.StartupMessage{}
	if err := m.Decode(packet); err != nil {
		return nil, classifier.Wrap(classifier.BadMessage, err, "start-up message")
	}
	var options []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			options = append(options, name)
			delete(m.Parameters, name)
		}
	}
	if code != pgproto3.ProtocolVersion30 || len(options) > 0 {
		s.out.send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0, UnrecognizedOptions: options})
	}
	s.user, s.database = m.Parameters["user"], m.Parameters["database"]
	if s.database == "" {
		s.database = s.user
	}
	return m, nil
}

// authenticate accepts trusted callers on loopback, and others with a password over TLS.
func (s *session) authenticate() error {
	isTrusted := s.l.cfg.TrustLoopback && isLoopback(s.conn.RemoteAddr())
	if !isTrusted {
		if err := s.checkPassword(); err != nil {
			return err
		}
	}
	return s.out.send(&pgproto3.AuthenticationOk{})
}

func (s *session) checkPassword() error {
	if s.tlsConn() == nil {
		return classifier.New(classifier.TLSRequired, "user %q connected without TLS", s.user)
	}
	s.in.SetLimit(passwordBytes)
	defer s.in.SetLimit(s.l.cfg.Limits.MessageBytes)
	s.out.send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.out.flush(); err != nil {
		return err
	}
	kind, body, err := s.in.Next()
	if err != nil {
		return err
	}
	var m pgproto3.PasswordMessage
	if kind != 'p' || m.Decode(body) != nil {
		return classifier.New(classifier.BadMessage, "message %q in place of a password", kind)
	}
	want, isKnown := s.l.cfg.Credentials[s.user]
	if !isSameText(m.Password, want) || !isKnown {
		return classifier.New(classifier.AuthenticationFailed, "password authentication failed for user %q", s.user)
	}
	return nil
}

// isSameText compares hashes in constant time, so that the time tells neither the text nor its length.
func isSameText(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

func isLoopback(a net.Addr) bool {
	t, ok := a.(*net.TCPAddr)
	return ok && t.IP.IsLoopback() || a.Network() == "pipe"
}

// open checks the parameters and registers the session.
func (s *session) open(m *pgproto3.StartupMessage) error {
	if err := s.l.cfg.Ready(); err != nil {
		return classifier.Wrap(classifier.NotReady, err, "VM is not ready")
	}
	if v := m.Parameters["replication"]; v != "" && v != "false" && v != "off" && v != "no" && v != "0" {
		return classifier.New(classifier.Unsupported, "replication connection")
	}
	if err := s.check(""); err != nil {
		return err
	}
	if err := s.applyStartUp(m.Parameters); err != nil {
		return err
	}
	var random [8]byte
	rand.Read(random[:])
	s.secretKey = binary.BigEndian.Uint32(random[:4])
	if err := s.l.register(s); err != nil {
		return err
	}
	s.idPrefix = fmt.Sprintf("%s-%08x-%08x-", s.l.cfg.VM, s.processID, random[4:])
	return nil
}

// greet sends what a client expects before the first ReadyForQuery.
func (s *session) greet(m *pgproto3.StartupMessage) error {
	for _, p := range [...]pgproto3.ParameterStatus{
		{Name: "server_version", Value: s.l.cfg.ServerVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "application_name", Value: m.Parameters["application_name"]},
		{Name: "is_superuser", Value: "off"},
		{Name: "session_authorization", Value: s.user},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "IntervalStyle", Value: "postgres"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
	} {
		s.out.send(&p)
	}
	key := binary.BigEndian.AppendUint32(nil, s.secretKey)
	s.out.send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: key})
	if err := s.ready(); err != nil {
		s.l.unregister(s)
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}
