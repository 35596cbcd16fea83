package allotter

import (
	"context"
	"fmt"
	"hash/maphash"
	"time"

	"parsleyscale/internal/backend/pacer"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/statement/carrier"
)

// checkTimeout limits the round trip that checks a connection after idle time.
const checkTimeout = 250 * time.Millisecond

// maxPrepared is the number of prepared statements on a connection at which it is reset.
const maxPrepared = 200

// Lease is a connection that one request uses. The request ends the lease by
// exactly one call of Release or Discard. Idle connections in the pool are kept as leases, too.
type Lease struct {
	allotter   *Allotter
	pool       *instancePool
	target     carrier.Target
	scope      scope
	conn       carrier.Conn
	team       string   // of the request that has the connection
	teamConn   teamConn // conn for this team
	lastUsedAt time.Time
	holdStart  time.Time // when the request got the connection, or resumed its transaction

	sessionValues map[string]string // session values set on this connection
	prepared      map[string]bool   // names of the statements prepared on this connection

	openedRamp int // instancePool.rampNumber when the connection was opened
	rampNumber int // instancePool.rampNumber when the connection was last taken, or resumed its transaction

	isIdleInTx bool // guarded by Allotter.mu

	hasUnknownState bool // a command that SessionCommands returned was not carried out, or may not have been
}

// Target returns the instance that the connection leads to.
func (l *Lease) Target() carrier.Target { return l.target }

// Conn returns the connection. It sends all commands for the team of the request.
func (l *Lease) Conn() carrier.Conn { return &l.teamConn }

// teamConn is a connection on which all commands are sent for one team.
type teamConn struct {
	carrier.Conn
	team string
}

// Send implements carrier.Conn.
func (c *teamConn) Send(cmds ...carrier.Command) error {
	for k := range cmds {
		cmds[k].Team = c.team
	}
	return c.Conn.Send(cmds...)
}

// IsLink implements carrier.Link.
func (c *teamConn) IsLink() bool { return carrier.IsLink(c.Conn) }

// Release returns the connection to the pool, or closes it if its session values are not known. The connection must be outside a
// transaction and have no reply outstanding.
func (l *Lease) Release() {
	if l.hasUnknownState {
		l.Discard()
		return
	}
	l.conn.SetDeadline(time.Time{})
	l.lastUsedAt = time.Now()
	l.allotter.mu.Lock()
	defer l.allotter.mu.Unlock()
	if !l.isIdleInTx {
		l.pool.recordHoldTime(l.lastUsedAt.Sub(l.holdStart))
		l.pool.endUse(l)
	}
	l.pool.endIdleInTx(l)
	l.pool.teamUse(l.team).leased--
	l.allotter.putLocked(l)
}

// MarkIdleInTx marks the connection as idle in a transaction: no statement runs on it until
// the caller sends the next one. Meanwhile it does not count as in use, so that the
// instance can serve another request.
func (l *Lease) MarkIdleInTx() {
	l.allotter.mu.Lock()
	defer l.allotter.mu.Unlock()
	if l.isIdleInTx {
		return
	}
	l.pool.recordHoldTime(time.Since(l.holdStart))
	l.pool.endUse(l)
	l.isIdleInTx = true
	l.pool.idleInTx++
	l.allotter.serveWaiters(l.pool)
}

// MarkActive marks the connection as in use again, after MarkIdleInTx. It never waits:
// statements of an open transaction, which may hold locks, take precedence over
// requests without a connection.
func (l *Lease) MarkActive() {
	l.allotter.mu.Lock()
	defer l.allotter.mu.Unlock()
	if l.isIdleInTx {
		l.pool.recordUse(time.Now())
	}
	if l.pool.endIdleInTx(l) {
		l.pool.teamUse(l.team).inUse++
		l.rampNumber = l.pool.rampNumber
	}
	l.holdStart = time.Now()
}

// Discard closes the connection. The instance rolls back its open transaction, if any.
func (l *Lease) Discard() {
	l.conn.Close()
	l.allotter.mu.Lock()
	defer l.allotter.mu.Unlock()
	if !l.pool.endIdleInTx(l) {
		l.pool.endUse(l)
	}
	l.pool.teamUse(l.team).leased--
	l.pool.open--
	l.pool.scopeUse(l.scope).open--
	l.allotter.serveWaiters(l.pool)
}

// discardWithIdle closes a connection that failed its check, and all idle connections to
// the same instance through the same gateway, because they most likely have the same fault.
func (l *Lease) discardWithIdle() {
	l.allotter.mu.Lock()
	now := time.Now()
	if l.conn.IsBroken() && l.openedRamp == l.pool.rampNumber {
		l.allotter.startRamp(l.pool, pacer.Recovered) // not for the other connections that the instance closed at that time
	}
	l.pool.closeIdleIf(func(idle *Lease) bool {
		return idle.scope.gateway == l.scope.gateway && idle.lastUsedAt.Before(now)
	})
	l.allotter.mu.Unlock()
	l.Discard()
}

// isUsable reports whether an idle connection still works. It makes a round trip if
// the connection was idle for at least checkAfter.
func (l *Lease) isUsable(ctx context.Context, checkAfter time.Duration) bool {
	if l.conn.IsBroken() {
		return false
	}
	if time.Since(l.lastUsedAt) < checkAfter {
		return true
	}
	deadline := time.Now().Add(checkTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	l.conn.SetDeadline(deadline)
	if l.conn.Send(carrier.Command{Statement: carrier.Internal(carrier.Reset)}) != nil {
		return false
	}
	r, err := l.conn.Receive()
	l.clearSessionState()
	return err == nil && r.OK()
}

// Exchange sends commands as one batch and receives their replies. On an error it
// returns the replies received before.
func (l *Lease) Exchange(cmds ...carrier.Command) ([]carrier.Reply, error) {
	if err := l.Conn().Send(cmds...); err != nil {
		return nil, err
	}
	replies := make([]carrier.Reply, 0, len(cmds))
	for range cmds {
		r, err := l.conn.Receive()
		if err != nil {
			return replies, err
		}
		replies = append(replies, r)
	}
	return replies, nil
}

// ExchangeInSession is Exchange for commands of a session, which run with its values and a prepared statement, nil for none. What is
// missing of these on the connection is sent ahead. An instance is sent the commands only once it has accepted that; a gateway refuses
// them itself otherwise. If something is refused, so are the commands, and nothing of them has run. With an error, outstanding
// is the number of replies that may still arrive; if HasUnknownState is true then, the commands were not sent.
func (l *Lease) ExchangeInSession(values map[string]string, prepared *carrier.Statement, cmds ...carrier.Command) (replies []carrier.Reply, outstanding int, err error) {
	ahead := l.SessionCommands(values, prepared)
	if len(ahead) > 0 && !carrier.IsLink(l.conn) {
		replies, err := l.Exchange(ahead...)
		if err != nil {
			l.hasUnknownState = true
			return nil, len(ahead) - len(replies), err
		}
		if r, ok := firstRefusal(replies); ok {
			l.hasUnknownState = true
			return l.refusals(r, len(cmds)), 0, nil
		}
		ahead = nil
	}
	replies, err = l.Exchange(append(ahead, cmds...)...)
	if err != nil {
		return nil, len(ahead) + len(cmds) - len(replies), err
	}
	_, isRefused := firstRefusal(replies[:len(ahead)])
	l.hasUnknownState = l.hasUnknownState || isRefused
	return replies[len(ahead):], 0, nil
}

// HasUnknownState reports whether the session values or prepared statements on the connection are not known, since the other end refused
// one. Such a connection must not be used any more.
func (l *Lease) HasUnknownState() bool { return l.hasUnknownState }

func firstRefusal(replies []carrier.Reply) (carrier.Reply, bool) {
	for _, r := range replies {
		if !r.OK() {
			return r, true
		}
	}
	return carrier.Reply{}, false
}

// refusals returns the replies to n commands that were not sent, because a command ahead of them was refused.
func (l *Lease) refusals(ahead carrier.Reply, n int) []carrier.Reply {
	r := carrier.ErrorReply(classifier.Overloaded, fmt.Sprintf("not run, since %s refused a session value or a prepared statement: %s %s", l.target.Instance, ahead.Kind, ahead.Detail)).WithState(carrier.Failed)
	replies := make([]carrier.Reply, n)
	for k := range replies {
		replies[k] = r
	}
	return replies
}

// clearSessionState records that a reset removed all session values and prepared statements.
func (l *Lease) clearSessionState() {
	clear(l.sessionValues)
	clear(l.prepared)
}

// SessionCommands returns the commands that set the values of a session on the connection and
// prepare the statement that the next command needs, as far as they are missing, and
// records them as sent. The caller sends them directly before its own command. They begin
// with a reset when the connection has a value that the session lacks, or maxPrepared
// prepared statements.
func (l *Lease) SessionCommands(values map[string]string, prepared *carrier.Statement) []carrier.Command {
	var cmds []carrier.Command
	if l.hasExtraValue(values) || len(l.prepared) >= maxPrepared {
		cmds = append(cmds, carrier.Command{Statement: carrier.Internal(carrier.Reset)})
		l.clearSessionState()
	}
	for name, v := range values {
		remembered := digestIfLong(v)
		if current, ok := l.sessionValues[name]; ok && current == remembered {
			continue
		}
		cmds = append(cmds, carrier.Command{Statement: carrier.Statement{ID: carrier.InternalID, Verb: carrier.Set, Name: name, Args: v}})
		l.sessionValues[name] = remembered
	}
	if prepared != nil && !l.prepared[prepared.Name] {
		p := *prepared
		p.ID = carrier.InternalID
		cmds = append(cmds, carrier.Command{Statement: p})
		l.prepared[p.Name] = true
	}
	return cmds
}

// maxRememberedValueBytes is the size of session values that a connection remembers as they are.
const maxRememberedValueBytes = 256

// digestSeed makes digests unpredictable, so that no client can choose a value that is taken for another one's.
var digestSeed = maphash.MakeSeed()

// digestIfLong returns what a connection remembers of a session value. Idle connections would otherwise keep the
// values of sessions that have ended, of up to 1 MiB each.
func digestIfLong(v string) string {
	if len(v) <= maxRememberedValueBytes {
		return v
	}
	return fmt.Sprintf("%d bytes with digest %016x", len(v), maphash.String(digestSeed, v))
}

// hasExtraValue reports whether a session value is set on the connection that is not in values.
func (l *Lease) hasExtraValue(values map[string]string) bool {
	for name := range l.sessionValues {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}
