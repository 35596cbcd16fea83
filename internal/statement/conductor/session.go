// Package conductor serves client sessions. It keeps the state of each session (its values,
// prepared statements, open transaction and latest commit) and passes its statements on
// to the performer.
package conductor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/cataloger"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/performer"
)

// maxEntriesPerSession limits the values of one session, and likewise its prepared statements.
const maxEntriesPerSession = 1000

// ClientConn is the connection of a client.
type ClientConn interface {
	// Start returns the name of the database that the client asks for, and who the client says that it is: in a configuration
	// with teams, a key.
	Start() (database, who string, err error)
	// Wait returns nil once a statement has begun to arrive, or os.ErrDeadlineExceeded at the deadline.
	Wait(deadline time.Time) error
	// Receive returns the next statement. It returns io.EOF if the client has ended
	// the session, and an error of kind badMessage or messageTooLarge for a statement
	// that cannot be parsed.
	Receive() (carrier.Statement, error)
	// Send sends the reply to the latest statement, or to the start of the session.
	Send(r carrier.Reply) error
	Close()
}

// Performer executes statements on database instances.
type Performer interface {
	Read(ctx context.Context, r performer.Request) carrier.Reply
	Write(ctx context.Context, r performer.Request) carrier.Reply
	Begin(r performer.Request, isReadOnly bool) *performer.Transaction
}

// session is the session of one client.
type session struct {
	server   *Server
	client   ClientConn
	account  *budgeter.Account
	database string
	key      string // that the client stated; a secret, must not be logged

	values      map[string]string
	prepared    map[string]carrier.Statement // by the client's name for the statement
	floors      floors                       // log positions of the session's latest commits
	tx          *performer.Transaction       // nil outside a transaction
	team        cataloger.Team               // that the current statement runs for; the zero value if the client has none
	txTeam      *cataloger.Team              // with which the transaction began; nil before its first statement
	isRefused   bool                         // the client's key permits no statement, so that the session ends
	lastReplyAt time.Time

	// The following fields are guarded by server.mu.
	stopAt    time.Time                // when a planned stop closes the session if it is idle; zero if none
	isWaiting bool                     // for the client's next statement
	seen      *cataloger.Configuration // that the session looked at when it last began to wait
}

// serve runs the session until it ends and returns the reason for its end.
func (s *session) serve(ctx context.Context) string {
	defer s.close()
	if err := s.start(); err != nil {
		return startFailureReason(err)
	}
	for {
		if reason := s.waitForStatement(); reason != "" {
			return reason
		}
		st, err := s.client.Receive()
		arrivedAt, arrivedClock := time.Now(), s.server.cfg.Clock()
		var r carrier.Reply
		switch {
		case err == nil:
			r = s.handle(ctx, st, arrivedAt, arrivedClock)
		case isInvalidStatement(err):
			r = s.handleInvalid(err)
		case errors.Is(err, io.EOF):
			return "callerLeft"
		default:
			return "callerBroke"
		}
		if r, err = s.accountForAnswer(st, r); err != nil {
			return overBudget
		}
		if err := s.client.Send(r); err != nil {
			return "callerBroke"
		}
		s.account.ReleaseAll(budgeter.Received)
		s.account.ReleaseAll(budgeter.Answers)
		s.lastReplyAt = time.Now()
		switch {
		case s.isRefused:
			return "keyRefused"
		case s.account.MustEnd():
			return overBudget
		case r.Kind == classifier.UnknownDatabase:
			return "unknownDatabase"
		}
		if stopAt := s.server.stopTimeOf(s); s.tx == nil && !stopAt.IsZero() && s.lastReplyAt.After(stopAt) {
			return "stopping"
		}
	}
}

// overBudget is the reason for the end of a session that was closed because the process was above a budget.
const overBudget = "overBudget"

const (
	// maxUncountedAnswerBytes is the size of answers up to which their memory is not accounted for.
	maxUncountedAnswerBytes = 4096
	// answerCopies is how many times an answer is in memory: as the instance sent it, until that is collected as garbage,
	// and as its rows.
	answerCopies = 2
)

// accountForAnswer accounts for a large answer until the client has taken it. If there is no memory for it, it returns the
// refusal that takes its place, or an error if that would hide the outcome of a write.
func (s *session) accountForAnswer(st carrier.Statement, r carrier.Reply) (carrier.Reply, error) {
	size := r.Size()
	if size <= maxUncountedAnswerBytes {
		return r, nil
	}
	err := s.account.Reserve(budgeter.Answers, int64(answerCopies*size))
	isRead := st.Verb == carrier.Read || st.Verb == carrier.Execute && s.prepared[st.Name].PreparedVerb == carrier.Read
	if err == nil || !isRead {
		return r, err
	}
	return s.refuseBy(err), nil
}

// isInvalidStatement reports whether err is due to one statement only, so that the session can go on.
func isInvalidStatement(err error) bool {
	return classifier.Is(err, classifier.BadMessage) || classifier.Is(err, classifier.MessageTooLarge) || classifier.Is(err, classifier.Overloaded)
}

// start receives the start message of the client and replies to it.
func (s *session) start() error {
	database, who, err := s.client.Start()
	if err != nil {
		return err
	}
	s.database, s.key = database, who
	if _, r, ok := s.route(); !ok {
		_ = s.client.Send(r)
		return errStartRefused
	}
	if r, isRefused := s.checkKey(); isRefused {
		_ = s.client.Send(r)
		return errKeyRefused
	}
	if err := s.account.Keep(len(database) + len(who)); err != nil {
		_ = s.client.Send(carrier.ErrorReplyFor(err))
		return err
	}
	s.account.ReleaseAll(budgeter.Received)
	s.account.Started()
	s.lastReplyAt = time.Now()
	return s.client.Send(carrier.Reply{})
}

// errStartRefused is returned when a session cannot start because this VM has no route for its database.
var errStartRefused = errors.New("no route for the database")

// errKeyRefused is returned when a session cannot start because the client's key permits no statement.
var errKeyRefused = errors.New("key is refused")

// startFailureReason returns the reason for the end of a session whose start failed.
func startFailureReason(err error) string {
	switch {
	case errors.Is(err, errStartRefused):
		return "startRefused"
	case errors.Is(err, errKeyRefused):
		return "startKeyRefused"
	case errors.Is(err, io.EOF):
		return "startCallerLeft"
	}
	return "startFailed"
}

// route returns the current route of the session's database, or the reply that refuses the statement.
func (s *session) route() (cataloger.Route, carrier.Reply, bool) {
	route, err := RouteOf(s.server.cfg.Configuration(), s.database)
	if err != nil {
		return route, carrier.ErrorReplyFor(err).WithState(s.state()), false
	}
	return route, carrier.Reply{}, true
}

// RouteOf returns the route of a database in a configuration, which is nil while there is none, or the error with which
// statements are refused.
func RouteOf(cfg *cataloger.Configuration, database string) (cataloger.Route, error) {
	if cfg == nil {
		return cataloger.Route{}, classifier.New(classifier.NotReady, "VM has no configuration yet")
	}
	route, ok := cfg.Route(database)
	if !ok {
		return cataloger.Route{}, classifier.New(classifier.UnknownDatabase, "unknown database %.40q", database)
	}
	return route, nil
}

// waitForStatement waits until the next statement begins to arrive. It returns the reason if the
// session ends instead, and an empty string otherwise. It aborts a transaction that is idle for too long.
func (s *session) waitForStatement() string {
	for {
		if s.account.MustEnd() {
			return overBudget
		}
		deadline, endsSession := s.waitDeadline()
		isKeyRemoved := s.beginWait()
		if isKeyRemoved {
			deadline = time.Now().Add(minIdleBeforeStop)
		}
		err := s.client.Wait(deadline)
		s.endWait()
		switch {
		case err == nil:
			return ""
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return "callerLeft"
		case isKeyRemoved:
			return "keyRemoved"
		}
		if endsSession && s.isStopDue() {
			return "stopping"
		}
		if s.tx != nil && time.Since(s.lastReplyAt) >= s.idleTransactionTimeout() {
			s.tx.Abort()
		}
	}
}

// minIdleBeforeStop is how long a session must have been idle before a planned stop or the removal of its key closes it.
// A client whose next statement is already on the way would lose it.
const minIdleBeforeStop = 50 * time.Millisecond

// isStopDue reports whether a planned stop closes the session now.
func (s *session) isStopDue() bool {
	stopAt, endsSession := s.waitDeadline()
	return endsSession && !time.Now().Before(stopAt)
}

// waitDeadline returns until when to wait for the client, and whether a planned stop ends the
// session then. The zero time means no deadline.
func (s *session) waitDeadline() (t time.Time, endsSession bool) {
	stopAt := s.server.stopTimeOf(s)
	if s.tx == nil && stopAt.IsZero() {
		return stopAt, false
	}
	if s.tx == nil {
		return later(stopAt, s.lastReplyAt.Add(minIdleBeforeStop)), true
	}
	idleEnd := s.lastReplyAt.Add(s.idleTransactionTimeout())
	if s.tx.HasFailed() {
		idleEnd = time.Now().Add(s.idleTransactionTimeout()) // with a deadline in the past, waitForStatement would spin
	}
	txEnd := s.server.transactionsEnd()
	if !txEnd.IsZero() && txEnd.Before(idleEnd) {
		return txEnd, true
	}
	return idleEnd, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *session) idleTransactionTimeout() time.Duration {
	if cfg := s.server.cfg.Configuration(); cfg != nil && cfg.IdleTransactionTimeout > 0 {
		return cfg.IdleTransactionTimeout
	}
	return defaultIdleTransactionTimeout
}

// defaultIdleTransactionTimeout applies while the configuration sets no timeout.
const defaultIdleTransactionTimeout = 4 * time.Second

func (s *session) state() carrier.State {
	if s.tx == nil {
		return carrier.Idle
	}
	return s.tx.State()
}

func (s *session) refuse(k classifier.Kind, text string) carrier.Reply {
	return carrier.ErrorReply(k, text).WithState(s.state())
}

// close rolls back a transaction that the client left open, gives up the session's state and closes the connection.
func (s *session) close() {
	for name := range s.prepared {
		s.deallocate(name)
	}
	if s.tx != nil {
		s.tx.Rollback()
		s.endTransaction()
	}
	s.client.Close()
}

// handleInvalid returns the reply to a statement that cannot be parsed.
func (s *session) handleInvalid(err error) carrier.Reply {
	if refusal, isRefused := s.checkKey(); isRefused {
		return refusal
	}
	return s.refuseBy(err)
}

// refuseBy returns the reply that refuses a statement because of an error. A refusal for overload promises that nothing is kept, so that it rolls
// the transaction back.
func (s *session) refuseBy(err error) carrier.Reply {
	refusal := carrier.ErrorReplyFor(err)
	if s.tx == nil || !classifier.Is(err, classifier.Overloaded) {
		return refusal.WithState(s.state())
	}
	s.tx.Rollback()
	return s.tx.Refuse(refusal)
}

// handle answers a statement from the state of the session, or passes it on to the performer.
func (s *session) handle(ctx context.Context, st carrier.Statement, arrivedAt time.Time, arrivedClock time.Duration) carrier.Reply {
	if refusal, isRefused := s.checkKey(); isRefused {
		return refusal
	}
	switch st.Verb {
	case carrier.Set:
		return s.setValue(st)
	case carrier.Prepare:
		return s.prepare(st)
	case carrier.Deallocate:
		s.deallocate(st.Name)
		return carrier.Reply{State: s.state()}
	case carrier.Rollback:
		if s.tx != nil {
			s.tx.Rollback()
			s.endTransaction()
		}
		return carrier.Reply{}
	}
	r, refusal, ok := s.newRequest(st, arrivedAt, arrivedClock)
	if !ok {
		return refusal
	}
	if r, ok = s.server.admit(r); !ok {
		return s.refuseForStop(st.Verb)
	}
	return s.execute(ctx, r)
}

// refuseForStop refuses a statement that might not be answered before a planned stop ends the process. It rolls back the transaction.
func (s *session) refuseForStop(v carrier.Verb) carrier.Reply {
	refusal := carrier.ErrorReply(classifier.Overloaded, "VM is about to stop")
	if s.tx == nil {
		return refusal
	}
	s.tx.Rollback()
	if v == carrier.Commit {
		s.endTransaction()
		return refusal
	}
	return s.tx.Refuse(refusal)
}

// newRequest returns the request for a statement, or the reply that refuses it. Statements of a
// transaction keep the route with which the transaction began.
func (s *session) newRequest(st carrier.Statement, arrivedAt time.Time, arrivedClock time.Duration) (performer.Request, carrier.Reply, bool) {
	r := performer.Request{Team: s.team.Name, Statement: st, SessionValues: s.values, ArrivedAt: arrivedAt, ArrivedClock: arrivedClock}
	if s.tx != nil {
		r.Route = s.tx.Route()
	} else {
		route, refusal, ok := s.route()
		if !ok {
			return r, refusal, false
		}
		r.Route = route
	}
	var isKnown bool
	if r.Floor, isKnown = s.floors.Of(r.Route.Group); !isKnown && r.Route.ReadKind == cataloger.Session {
		r.Route.ReadKind = cataloger.Current // only the primary is sure to hold the session's commits
	}
	if st.Verb != carrier.Execute {
		return r, carrier.Reply{}, true
	}
	prepared, ok := s.prepared[st.Name]
	if !ok {
		return r, s.refuse(classifier.UnknownStatement, fmt.Sprintf("unknown prepared statement %.40q", st.Name)), false
	}
	r.Statement = st.WithName(prepared.Name)
	r.Prepared = &prepared
	return r, carrier.Reply{}, true
}

func (s *session) execute(ctx context.Context, r performer.Request) carrier.Reply {
	switch r.Statement.Verb {
	case carrier.Begin, carrier.BeginRead:
		if s.tx != nil {
			return s.refuse(classifier.BadMessage, "a transaction is already open")
		}
		s.tx = s.server.cfg.Performer.Begin(r, r.Statement.Verb == carrier.BeginRead)
		return carrier.Reply{State: carrier.InTransaction}
	case carrier.Commit:
		return s.commit(ctx, r)
	}
	if s.tx != nil {
		if refusal, ok := s.startTransactionOperation(ctx, r); !ok {
			return refusal
		}
		return s.tx.Run(ctx, r)
	}
	if refusal, ok := s.admit(ctx, r); !ok {
		return refusal
	}
	if r.IsWrite() {
		reply := s.server.cfg.Performer.Write(ctx, r)
		if reply.OK() {
			s.raiseFloor(r.Route.Group, reply.Position)
		}
		return reply
	}
	return s.server.cfg.Performer.Read(ctx, r)
}

func (s *session) commit(ctx context.Context, r performer.Request) carrier.Reply {
	if s.tx == nil {
		return s.refuse(classifier.BadMessage, "no transaction is open")
	}
	if refusal, ok := s.startTransactionOperation(ctx, r); !ok {
		s.endTransaction()
		return refusal.WithState(carrier.Idle)
	}
	reply, position := s.tx.Commit(ctx, r)
	s.endTransaction()
	s.raiseFloor(r.Route.Group, position)
	return reply
}

// raiseFloor records the log position of the session's latest commit. A zero position is ignored.
func (s *session) raiseFloor(group string, p tokenizer.Position) {
	if !p.IsZero() {
		s.floors = s.floors.With(group, p)
	}
}

func (s *session) setValue(st carrier.Statement) carrier.Reply {
	if len(s.values) >= maxEntriesPerSession {
		return s.refuse(classifier.MessageTooLarge, fmt.Sprintf("too many session values, the limit is %d", maxEntriesPerSession))
	}
	if err := s.account.Keep(len(st.Name) + len(st.Args)); err != nil {
		return s.refuseBy(err)
	}
	if old, ok := s.values[st.Name]; ok {
		s.account.Unkeep(len(st.Name) + len(old))
	}
	if s.values == nil {
		s.values = map[string]string{}
	}
	s.values[strings.Clone(st.Name)] = st.Args // a part of the message's text would keep all of it in memory
	return carrier.Reply{State: s.state()}
}

func (s *session) prepare(st carrier.Statement) carrier.Reply {
	if len(s.prepared) >= maxEntriesPerSession {
		return s.refuse(classifier.MessageTooLarge, fmt.Sprintf("too many prepared statements, the limit is %d", maxEntriesPerSession))
	}
	text, err := s.account.KeepText(st.Args)
	if err != nil {
		return s.refuseBy(err)
	}
	s.deallocate(st.Name)
	if s.prepared == nil {
		s.prepared = map[string]carrier.Statement{}
	}
	st.Args, st.ID = text, ""
	s.prepared[strings.Clone(st.Name)] = st.WithName(s.server.cfg.Names.Name(st))
	return carrier.Reply{State: s.state()}
}

// deallocate gives up a prepared statement, if there is one of the name.
func (s *session) deallocate(name string) {
	if old, ok := s.prepared[name]; ok {
		s.account.UnkeepText(old.Args)
		delete(s.prepared, name)
	}
}
