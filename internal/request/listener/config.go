package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/session/tokenizer"
)

// Limits bound what callers can use. A zero field gets its default.
type Limits struct {
	Callers           int           // connections at once
	MessageBytes      int           // one message, one extended batch before its Sync, and the text of a caller's prepared statements
	Statements        int           // prepared statements of a caller, and portals of a unit
	StartUp           time.Duration // from accept to the first ReadyForQuery
	Idle              time.Duration // between units
	IdleInTransaction time.Duration // between the statements of a transaction
	Statement         time.Duration // Request.Timeout of a read or write
	Transaction       time.Duration // Request.Timeout of a transaction
}

// Defaults of Limits.
const (
	DefaultCallers           = 8192
	DefaultMessageBytes      = 16 << 20
	DefaultStatements        = 1024
	DefaultStartUp           = 10 * time.Second
	DefaultIdle              = 24 * time.Hour
	DefaultIdleInTransaction = 30 * time.Second
	DefaultStatement         = 10 * time.Second
	DefaultTransaction       = 2 * time.Minute
)

// maxCallers is the number of sessions that the low half of a process id can tell apart.
const maxCallers = 1<<16 - 1

// Event is something that an operator may want to see in the log.
type Event struct {
	Name   string // stable name
	Remote string // address of the caller
	Err    error
}

// Observer receives metrics and log events. Its methods are called from many goroutines.
type Observer interface {
	// CallerOpened is called when a caller has started up, CallerClosed when it is gone.
	CallerOpened(database string)
	CallerClosed(database string)
	// UnitDone is called after each unit.
	UnitDone(r exchanger.Request, res exchanger.Result, took time.Duration, err error)
	// Event reports an event.
	Event(e Event)
}

// Config is what a Listener needs.
type Config struct {
	Address       string
	VM            string            // identity of this VM
	TLS           *tls.Config       // nil: no TLS
	Credentials   map[string]string // password of each user
	TrustLoopback bool              // accept callers on loopback without TLS and password
	ServerVersion string            // shown to callers, "15.0" by default
	Runner        exchanger.Runner
	Tokens        *tokenizer.Codec
	// Check reports whether the sheet has a database and, unless it is empty, a read kind of its service.
	Check func(database, readKind string) error
	// Ready reports why the VM cannot serve callers yet.
	Ready func() error
	// ForwardCancel passes a cancel key that this VM does not know to the VM whose Hash it carries. It may be nil.
	ForwardCancel func(ctx context.Context, hash uint16, processID, secretKey uint32)
	Limits        Limits
	Observer      Observer // may be nil
}

func (c Config) check() error {
	switch {
	case c.VM == "":
		return errors.New("listener: vm identity is empty")
	case c.Runner == nil || c.Tokens == nil || c.Check == nil || c.Ready == nil:
		return errors.New("listener: runner, tokens, check and ready have to be set")
	case c.TLS == nil && !c.TrustLoopback:
		return errors.New("listener: neither tls nor trustLoopback is set")
	case c.Limits.Callers > maxCallers:
		return fmt.Errorf("listener: limit of %d callers is above %d", c.Limits.Callers, maxCallers)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.ServerVersion == "" {
		c.ServerVersion = "15.0"
	}
	if c.Observer == nil {
		c.Observer = silent{}
	}
	l := &c.Limits
	defaultInt(&l.Callers, DefaultCallers)
	defaultInt(&l.MessageBytes, DefaultMessageBytes)
	defaultInt(&l.Statements, DefaultStatements)
	defaultDuration(&l.StartUp, DefaultStartUp)
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

// silent is the Observer of a Config without one.
type silent struct{}

func (silent) CallerOpened(string)                                                {}
func (silent) CallerClosed(string)                                                {}
func (silent) UnitDone(exchanger.Request, exchanger.Result, time.Duration, error) {}
func (silent) Event(Event)                                                        {}
