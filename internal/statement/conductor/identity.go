package conductor

import (
	"context"
	"net"
	"time"

	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/performer"
	"parsleyscale/internal/team/authenticator"
)

// Admitter admits the operations of teams within their limits. Admit is called once for each operation, that is for a single
// statement or for the first statement of a transaction, with the zero Team for callers without a team. The context ends at
// the operation's deadline.
type Admitter interface {
	Admit(ctx context.Context, t cataloger.Team) error
}

// identify returns the team for the next operation of the session, or the reason why it is refused. It looks the key up in
// the configuration in force, so that a change applies from the next operation.
func (s *session) identify(cfg *cataloger.Configuration) authenticator.Decision {
	c := authenticator.Caller{Key: s.key, Configuration: cfg, SilentFor: s.server.silentFor(), Transaction: s.txTeam}
	route, ok := cfg.Route(s.database)
	if !ok && s.tx != nil {
		route = s.tx.Route()
	}
	c.Route = route
	return s.server.cfg.Authentication.Decide(c)
}

// checkKey returns the reply that refuses a statement, if the session's key does not permit any. It rolls back an open
// transaction; the session then ends.
func (s *session) checkKey() (carrier.Reply, bool) {
	cfg := s.server.cfg.Configuration()
	if cfg == nil {
		return carrier.Reply{}, false
	}
	d := s.identify(cfg)
	if !d.IsRefused() {
		s.team = d.Team
		return carrier.Reply{}, false
	}
	if s.tx != nil {
		s.tx.Rollback()
		s.endTransaction()
	}
	s.isRefused = true
	s.server.reportRefusal(d.Reason, s.database)
	return carrier.ErrorReplyFor(d.Err()), true
}

// admit asks for the admission of an operation of the session's team, and returns the reply if it is refused.
func (s *session) admit(ctx context.Context, r performer.Request) (carrier.Reply, bool) {
	if s.server.cfg.Admitter == nil {
		return carrier.Reply{}, true
	}
	ctx, cancel := context.WithDeadline(ctx, r.ArrivedAt.Add(r.Timeout()))
	defer cancel()
	if err := s.server.cfg.Admitter.Admit(ctx, s.team); err != nil {
		return carrier.ErrorReplyFor(err).WithState(s.state()), false
	}
	return carrier.Reply{}, true
}

// startTransactionOperation admits the transaction, if the statement is its first. The transaction keeps its team from then
// on; if it is refused, it has failed.
func (s *session) startTransactionOperation(ctx context.Context, r performer.Request) (carrier.Reply, bool) {
	if s.txTeam != nil || s.tx.HasFailed() {
		return carrier.Reply{}, true
	}
	if refusal, ok := s.admit(ctx, r); !ok {
		return s.tx.Refuse(refusal), false
	}
	team := s.team
	s.txTeam = &team
	return carrier.Reply{}, true
}

// endTransaction forgets the session's transaction after its end.
func (s *session) endTransaction() { s.tx, s.txTeam = nil, nil }

// beginWait marks the session as waiting for its client, and reports whether it must end instead because its key was removed
// while it was idle. An open transaction is kept until the client's next statement, whose reply tells the client.
func (s *session) beginWait() (isKeyRemoved bool) {
	s.server.mu.Lock()
	s.isWaiting = true
	s.server.mu.Unlock()
	cfg := s.server.cfg.Configuration()
	isRemoved := s.tx == nil && cfg != nil && s.server.isKeyRemoved(s.startedWith(), cfg)
	s.server.mu.Lock()
	s.seen = cfg
	s.server.mu.Unlock()
	return isRemoved
}

func (s *session) endWait() {
	s.server.mu.Lock()
	s.isWaiting = false
	s.server.mu.Unlock()
}

// identity is what a started session stated of itself.
type identity struct{ database, key string }

func (s *session) startedWith() identity { return identity{s.database, s.key} }

// isKeyRemoved reports whether an idle session would be refused for its key. A VM without a source of configurations does
// not close idle sessions: their keys may still be valid once it has one again.
func (s *Server) isKeyRemoved(i identity, cfg *cataloger.Configuration) bool {
	route, ok := cfg.Route(i.database)
	if !ok {
		return false // the next statement is refused for its unknown database
	}
	d := authenticator.Rule{}.Decide(authenticator.Caller{Key: i.key, Route: route, Configuration: cfg})
	return d.IsRefused()
}

// silentFor returns the time without a source, or 0 if it decides nothing: reading the clock takes a system call.
func (s *Server) silentFor() time.Duration {
	if s.cfg.SilentFor == nil || !s.cfg.Authentication.FailClosed {
		return 0
	}
	return s.cfg.SilentFor()
}

func (s *Server) reportRefusal(r authenticator.Reason, database string) {
	if s.cfg.OnRefuse != nil {
		s.cfg.OnRefuse(r, database)
	}
}

// CloseRemoved closes the idle sessions whose key the configuration in force does not contain. The VM calls it when a
// configuration has come into force, so that no statement has to look for such sessions. It returns once all of them have
// noticed the configuration, or when the server stops.
func (s *Server) CloseRemoved() {
	cfg := s.cfg.Configuration()
	if !cfg.HasTeams() {
		return
	}
	for s.wakeRemoved(cfg) {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(wakeInterval):
		}
	}
}

// wakeInterval is how often an idle session is woken until it notices a configuration: a session that has just begun to wait
// replaces the read deadline that wakes it.
const wakeInterval = 20 * time.Millisecond

// wakeRemoved wakes the waiting sessions whose key a configuration does not contain and that have not seen it yet. It
// reports whether there are any. The time for it is proportional to the number of sessions.
func (s *Server) wakeRemoved(cfg *cataloger.Configuration) bool {
	now := time.Now()
	hasDue := false
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess, conn := range s.sessions {
		if !sess.isWaiting || hasSeen(sess.seen, cfg) || !s.isKeyRemoved(sess.startedWith(), cfg) {
			continue
		}
		hasDue = true
		wake(conn, now)
	}
	return hasDue
}

// hasSeen reports whether a session that has looked at the configuration seen knows cfg or a later one.
func hasSeen(seen, cfg *cataloger.Configuration) bool {
	return seen != nil && seen.Version >= cfg.Version
}

// wake makes a session that waits for its client look at the state of the server.
func wake(conn net.Conn, now time.Time) { _ = conn.SetReadDeadline(now) }
