package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/session/tokenizer"
)

// Limits bounds the resources that clients can use. A zero or negative field gets its default.
type Limits struct {
	Clients           int           // open client sessions
	MessageBytes      int           // one message, one extended-query batch up to its Sync, and the text of a session's prepared statements
	Statements        int           // prepared statements of a session, and portals of a unit
	Startup           time.Duration // from accepting the connection to the first ReadyForQuery
	Idle              time.Duration // between units
	IdleInTransaction time.Duration // between the statements of a transaction
	Statement         time.Duration // timeout of a unit of class read or write (Request.Timeout)
	Transaction       time.Duration // timeout of a transaction, read-only or not (Request.Timeout)
}

// Defaults of the fields of Limits.
const (
	DefaultClients           = 8192
	DefaultMessageBytes      = 16 << 20
	DefaultStatements        = 1024
	DefaultStartup           = 10 * time.Second
	DefaultIdle              = 24 * time.Hour
	DefaultIdleInTransaction = 30 * time.Second
	DefaultStatement         = 10 * time.Second
	DefaultTransaction       = 2 * time.Minute
)

// maxClients is the highest permitted Limits.Clients. The low 16 bits of a process ID hold the session number.
const maxClients = 1<<16 - 1

// Event is an event for the operator's log.
type Event struct {
	Name   string // stable event name
	Remote string // client's network address; empty if the event concerns no client
	Err    error
}

// Observer receives metrics and log events. Its methods are called concurrently.
type Observer interface {
	// ClientConnected is called when a client has completed startup.
	ClientConnected(database string)
	// ClientDisconnected is called when the session of such a client ends.
	ClientDisconnected(database string)
	// UnitDone is called after the Runner has returned from a unit of work.
	UnitDone(r exchanger.Request, res exchanger.Result, took time.Duration, err error)
	// Event receives a log event.
	Event(e Event)
}

// Config configures a Listener.
type Config struct {
	Address       string
	VM            string            // ID of this VM
	TLS           *tls.Config       // nil disables TLS
	Credentials   map[string]string // password by user name
	TrustLoopback bool              // accept loopback clients without TLS or password
	ServerVersion string            // server_version reported to clients; "15.0" if empty
	Runner        exchanger.Runner
	Tokens        *tokenizer.Codec
	// CheckNames returns an error unless the deployment configuration has the database and, if readKind is not empty,
	// the database's service defines that kind of read.
	CheckNames func(database, readKind string) error
	// Ready returns nil if the VM can serve clients, and otherwise the reason why it cannot.
	Ready func() error
	// ForwardCancel passes a cancel request whose session is not on this VM to the VMs whose VMHash is hash.
	// If it is nil, such requests are ignored.
	ForwardCancel func(ctx context.Context, hash uint16, processID, secretKey uint32)
	Limits        Limits
	Budget        *budgeter.Budget // of what clients occupy; nil for no limits
	Observer      Observer         // may be nil
}

func (c Config) validate() error {
	switch {
	case c.VM == "":
		return errors.New("listener: VM ID is empty")
	case c.Runner == nil || c.Tokens == nil || c.CheckNames == nil || c.Ready == nil:
		return errors.New("listener: Runner, Tokens, Check and Ready must be set")
	case c.TLS == nil && !c.TrustLoopback:
		return errors.New("listener: neither TLS nor TrustLoopback is set")
	case c.Limits.Clients > maxClients:
		return fmt.Errorf("listener: limit of %d clients exceeds the maximum of %d", c.Limits.Clients, maxClients)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.ServerVersion == "" {
		c.ServerVersion = "15.0"
	}
	if c.Observer == nil {
		c.Observer = noopObserver{}
	}
	l := &c.Limits
	defaultInt(&l.Clients, DefaultClients)
	defaultInt(&l.MessageBytes, DefaultMessageBytes)
	defaultInt(&l.Statements, DefaultStatements)
	defaultDuration(&l.Startup, DefaultStartup)
	defaultDuration(&l.Idle, DefaultIdle)
	defaultDuration(&l.IdleInTransaction, DefaultIdleInTransaction)
	defaultDuration(&l.Statement, DefaultStatement)
	defaultDuration(&l.Transaction, DefaultTransaction)
	return c
}

func defaultInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

func defaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// noopObserver discards everything; it is used if Config.Observer is nil.
type noopObserver struct{}

func (noopObserver) ClientConnected(string)                                             {}
func (noopObserver) ClientDisconnected(string)                                          {}
func (noopObserver) UnitDone(exchanger.Request, exchanger.Result, time.Duration, error) {}
func (noopObserver) Event(Event)                                                        {}
