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
	secretKeyBytes          = 4     // length of the secret key in BackendKeyData of protocol 3.0
	maxStartupPacketBytes   = 10000 // the limit that PostgreSQL has for a startup packet
	maxPasswordMessageBytes = 10000

	// Request codes that take the place of the protocol version in a startup packet.
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
	cancelRequestCode = 80877102

	protocolMajor         = 3 // major version of the supported protocol
	maxEncryptionRequests = 2 // one GSSENCRequest and one SSLRequest
)

// startup takes a new connection to its first ReadyForQuery.
func (s *session) startup(isOverLimit bool) error {
	deadline := time.Now().Add(s.l.cfg.Limits.Startup)
	conn := s.conn // remains the TCP connection after the TLS handshake
	conn.SetDeadline(deadline)
	stop := context.AfterFunc(s.l.ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	m, err := s.receiveStartupMessage(deadline)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && s.l.ctx.Err() != nil:
		return errShuttingDown()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return classifier.New(classifier.Timeout, "no startup message within %v", s.l.cfg.Limits.Startup)
	case err != nil:
		return err
	case isOverLimit:
		return classifier.New(classifier.Overloaded, "VM has reached its limit of %d client sessions", s.l.cfg.Limits.Clients)
	}
	if err := s.authenticate(); err != nil {
		return err
	}
	if err := s.openSession(m); err != nil {
		return err
	}
	return s.completeStartup(m)
}

// receiveStartupMessage responds to encryption requests and returns the startup message. A cancel request is served
// here and ends with errClientDisconnected.
func (s *session) receiveStartupMessage(deadline time.Time) (*pgproto3.StartupMessage, error) {
	for range maxEncryptionRequests + 1 {
		packet, err := s.readUntypedPacket()
		if err != nil {
			return nil, err
		}
		switch code := binary.BigEndian.Uint32(packet); {
		case code == sslRequestCode && s.l.cfg.TLS != nil && s.tlsConn() == nil:
			if err := s.startTLS(deadline); err != nil {
				return nil, err
			}
		case code == sslRequestCode, code == gssEncRequestCode:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case code == cancelRequestCode:
			return nil, s.serveCancelRequest(packet)
		case code>>16 == protocolMajor:
			return s.decodeStartupMessage(packet, code)
		default:
			return nil, classifier.New(classifier.Unsupported, "protocol version %d.%d is not supported", code>>16, code&0xffff)
		}
	}
	return nil, classifier.New(classifier.BadMessage, "more than %d encryption requests", maxEncryptionRequests)
}

// readUntypedPacket reads a packet that has a length but no message type. It does not read ahead, because the data
// after an encryption request must be read through the encrypted connection.
func (s *session) readUntypedPacket() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(s.conn, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < 8 || size > maxStartupPacketBytes {
		return nil, classifier.New(classifier.BadMessage, "startup packet of %d bytes, the limits are 8 and %d", size, maxStartupPacketBytes)
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
		s.l.cfg.Observer.Event(Event{Name: "tlsFailed", Remote: s.remoteAddr(), Err: err})
		return errClientDisconnected
	}
	s.setConn(conn)
	return nil
}

func (s *session) tlsConn() *tls.Conn {
	conn, _ := s.conn.(*tls.Conn)
	return conn
}

func (s *session) serveCancelRequest(packet []byte) error {
	var m pgproto3.CancelRequest
	if err := m.Decode(packet); err == nil {
		s.l.cancelOrForward(m.ProcessID, m.SecretKey)
	}
	return errClientDisconnected
}

// decodeStartupMessage accepts any minor version of protocol 3. A client that asks for a newer one than 3.0, or for
// protocol options, is offered 3.0 without options.
func (s *session) decodeStartupMessage(packet []byte, code uint32) (*pgproto3.StartupMessage, error) {
	binary.BigEndian.PutUint32(packet, pgproto3.ProtocolVersion30)
	m := &pgproto3.StartupMessage{}
	if err := m.Decode(packet); err != nil {
		return nil, classifier.Wrap(classifier.BadMessage, err, "invalid startup message")
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

// authenticate accepts loopback clients without a password if TrustLoopback is set. All others need TLS and a
// password.
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
		return classifier.New(classifier.TLSRequired, "user %q connected without TLS, which is required", s.user)
	}
	s.in.SetMaxBodyBytes(maxPasswordMessageBytes)
	defer s.in.SetMaxBodyBytes(s.l.cfg.Limits.MessageBytes)
	s.out.send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.out.flush(); err != nil {
		return err
	}
	messageType, body, err := s.in.Next()
	if err != nil {
		return err
	}
	var m pgproto3.PasswordMessage
	if messageType != 'p' || m.Decode(body) != nil {
		return classifier.New(classifier.BadMessage, "message of type %q is not a valid password message", messageType)
	}
	want, isKnown := s.l.cfg.Credentials[s.user]
	if !equalPasswords(m.Password, want) || !isKnown {
		return classifier.New(classifier.AuthenticationFailed, "password authentication failed for user %q", s.user)
	}
	return nil
}

// equalPasswords compares hashes in constant time, so that timing reveals neither the password nor its length.
func equalPasswords(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// isLoopback reports whether a is a loopback address. The in-memory pipes of tests count as loopback.
func isLoopback(a net.Addr) bool {
	t, ok := a.(*net.TCPAddr)
	return ok && t.IP.IsLoopback() || a.Network() == "pipe"
}

// openSession checks that the VM is ready, applies the startup parameters, and registers the session.
func (s *session) openSession(m *pgproto3.StartupMessage) error {
	if err := s.l.cfg.Ready(); err != nil {
		return classifier.Wrap(classifier.NotReady, err, "VM is not ready")
	}
	if v := m.Parameters["replication"]; v != "" && v != "false" && v != "off" && v != "no" && v != "0" {
		return classifier.New(classifier.Unsupported, "replication connections are not supported")
	}
	if err := s.checkConfigured(""); err != nil {
		return err
	}
	if err := s.applyStartupParameters(m.Parameters); err != nil {
		return err
	}
	var random [8]byte
	rand.Read(random[:])
	s.secretKey = binary.BigEndian.Uint32(random[:4])
	if err := s.l.register(s); err != nil {
		return err
	}
	s.account.Started()
	s.requestIDPrefix = fmt.Sprintf("%s-%08x-%08x-", s.l.cfg.VM, s.processID, random[4:])
	return nil
}

// completeStartup sends the messages that clients expect after authentication: parameter values, the cancel key and
// ReadyForQuery.
func (s *session) completeStartup(m *pgproto3.StartupMessage) error {
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
	err := s.sendReadyForQuery()
	if err == nil {
		err = s.conn.SetDeadline(time.Time{})
	}
	if err != nil {
		s.l.unregister(s)
	}
	return err
}
