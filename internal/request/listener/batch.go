package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/framer"
	"parsleyscale/internal/request/parser"
)

// messageOverheadBytes approximates the memory of a decoded message beyond the bytes of its body.
const messageOverheadBytes = 128

// nonexistentStatement names a prepared statement that exists on no backend connection, and as query text is a syntax
// error. Sending it makes the instance abort the client's transaction, as PostgreSQL would do for the error that the
// listener found. The client receives the listener's error instead of the instance's.
const nonexistentStatement = "parsleyscale_refused"

// preparedStatement is a prepared statement of a session.
type preparedStatement struct {
	sql    string
	oids   []uint32
	class  exchanger.Class
	parsed parser.Statement // zero unless sql is exactly one statement
}

// portal is a prepared statement that was bound in the current unit.
type portal struct {
	statement  *preparedStatement
	showFormat int16 // result format code of the column, if the statement is SHOW
}

// expectedResponse is a response that the client has yet to receive. Responses of the Runner and of the listener are
// sent in the order of the client's messages.
type expectedResponse struct {
	messageType     byte                      // type of the message that the Runner responds to; 0 if the listener responds
	isSuppressed    bool                      // the message came from the listener, so the client must not see the response
	isInjectedError bool                      // replace the error response by batch.injectedError
	localMessages   []pgproto3.BackendMessage // the response, if the listener responds
	undo            *undo                     // nil if the message changed no prepared statement
}

// undo restores the previous prepared statement of a name if the message that replaced it fails.
type undo struct {
	name     string
	previous *preparedStatement // nil if the name was unused
}

// batch holds the messages of a unit that are in progress between the client and the Runner.
type batch struct {
	queue            []pgproto3.FrontendMessage // messages for the Runner
	head             int                        // index in queue of the next message for the Runner
	expected         []expectedResponse         // responses still to be sent, in order
	portals          map[string]portal
	unnamedStatement *preparedStatement // held by the unnamed statement of the backend connection; nil if unknown
	class            exchanger.Class
	collectedBytes   int                     // memory of the messages since the last Query or Sync, for Limits.MessageBytes
	isOpen           bool                    // an extended-query message has arrived since the last Sync
	isFailed         bool                    // an error occurred; messages up to the next Sync are ignored
	injectedError    *pgproto3.ErrorResponse // sent in place of the error that nonexistentStatement causes
}

// forward queues a message for the Runner and the response that it will cause.
func (b *batch) forward(m pgproto3.FrontendMessage, e expectedResponse) {
	b.queue = append(b.queue, m)
	b.expected = append(b.expected, e)
}

// pop removes and returns the next message for the Runner, or nil if there is none.
func (b *batch) pop() pgproto3.FrontendMessage {
	if b.head == len(b.queue) {
		return nil
	}
	m := b.queue[b.head]
	b.queue[b.head] = nil
	b.head++
	if b.head == len(b.queue) {
		b.queue, b.head = b.queue[:0], 0
	}
	return m
}

// injectQueryError makes the instance abort the transaction and reports err to the client as the response to a simple
// query.
func (b *batch) injectQueryError(err error) {
	b.injectedError = errorResponse(err, "ERROR")
	b.forward(&pgproto3.Query{String: nonexistentStatement}, expectedResponse{messageType: 'Q', isInjectedError: true})
}

// injectBatchError makes the instance abort the transaction and reports err to the client after the responses that are
// still expected. Messages up to the next Sync are ignored.
func (b *batch) injectBatchError(err error) {
	b.injectedError = errorResponse(err, "ERROR")
	b.isFailed = true
	b.forward(&pgproto3.Describe{ObjectType: 'S', Name: nonexistentStatement}, expectedResponse{messageType: 'D', isInjectedError: true})
}

// reset prepares the batch for the next unit. It keeps collectedBytes, and the slices unless they have grown beyond
// maxKeptMessages.
func (b *batch) reset() {
	const maxKeptMessages = 64
	queue, expected := b.queue, b.expected
	if cap(queue) > maxKeptMessages || cap(expected) > maxKeptMessages {
		queue, expected = nil, nil
	}
	clear(queue)
	clear(expected)
	clear(b.portals)
	*b = batch{queue: queue[:0], expected: expected[:0], portals: b.portals, class: exchanger.Read, collectedBytes: b.collectedBytes}
}

// serveBatch collects an extended-query batch up to Sync and runs it, because the Runner needs the class of the whole
// batch before the first message. A Flush ends the collection early. The messages that follow it are then unknown, so
// the unit is at least a write.
func (s *session) serveBatch(m pgproto3.FrontendMessage) error {
	s.resetUnit()
	for {
		if err := s.translate(m); err != nil {
			return s.refuseBatch(err)
		}
		if _, isFlush := m.(*pgproto3.Flush); isFlush {
			s.batch.class = parser.CombineClasses(s.batch.class, exchanger.Write)
			break
		}
		if !s.batch.isOpen {
			break
		}
		var err error
		if m, err = s.readBatchMessage(); err != nil {
			return err
		}
	}
	if !s.needsRunner() {
		return s.sendReadyForQuery()
	}
	return s.run(s.batch.class)
}

// resetUnit clears the state of the previous unit.
func (s *session) resetUnit() {
	s.batch.reset()
	s.stream = stream{s: s, class: exchanger.Read}
}

// unitClass returns the class of the unit, as far as it is known from the messages so far.
func (s *session) unitClass() exchanger.Class {
	return parser.CombineClasses(s.stream.class, s.batch.class)
}

// needsRunner reports whether the batch has messages for the Runner besides a single Sync.
func (s *session) needsRunner() bool {
	if len(s.batch.queue) != 1 {
		return true
	}
	_, isSync := s.batch.queue[0].(*pgproto3.Sync)
	return !isSync
}

// refuseBatch responds with err to a batch that has not been passed to the Runner.
func (s *session) refuseBatch(err error) error {
	s.undoPendingParses()
	isOpen := s.batch.isOpen
	s.batch.reset()
	s.out.send(errorResponse(err, "ERROR"))
	if isOpen {
		if err := s.skipToSync(); err != nil {
			return err
		}
	}
	return s.sendReadyForQuery()
}

// skipToSync reads and drops messages up to the Sync that ends a failed batch.
func (s *session) skipToSync() error {
	if err := s.out.flush(); err != nil {
		return err
	}
	for {
		m, err := s.readBatchMessage()
		if err != nil {
			return err
		}
		switch m.(type) {
		case *pgproto3.Sync:
			s.batch.isOpen = false
			return nil
		case *pgproto3.Terminate:
			return errClientDisconnected
		}
		s.batch.collectedBytes = 0
	}
}

// readBatchMessage reads the next message of a batch whose Sync has not arrived.
func (s *session) readBatchMessage() (pgproto3.FrontendMessage, error) {
	messageType, body, err := s.readMessage(s.l.cfg.Limits.IdleInTransaction)
	if err != nil {
		return nil, s.timeoutError(err, "sending a batch")
	}
	return s.decodeBatchMessage(messageType, body)
}

// decodeBatchMessage decodes a message and counts its memory against Limits.MessageBytes.
func (s *session) decodeBatchMessage(messageType byte, body []byte) (pgproto3.FrontendMessage, error) {
	s.batch.collectedBytes += len(body) + messageOverheadBytes
	if s.batch.collectedBytes > s.l.cfg.Limits.MessageBytes+messageOverheadBytes {
		return nil, classifier.New(classifier.MessageTooLarge, "batch exceeds the limit of %d bytes", s.l.cfg.Limits.MessageBytes)
	}
	if err := s.accountForMessages(); err != nil {
		return nil, err
	}
	return framer.Decode(messageType, body)
}

// maxUncountedMessageBytes is the size of collected messages up to which their memory is not accounted for.
const maxUncountedMessageBytes = 8 << 10

// accountForMessages accounts for the messages that are collected now. It fails only if they need more than before.
func (s *session) accountForMessages() error {
	n := s.batch.collectedBytes
	if n <= maxUncountedMessageBytes {
		n = 0
	}
	if n <= s.accountedMessageBytes {
		s.account.Release(budgeter.Received, int64(s.accountedMessageBytes-n))
	} else if err := s.account.Reserve(budgeter.Received, int64(n-s.accountedMessageBytes)); err != nil {
		return err
	}
	s.accountedMessageBytes = n
	return nil
}

// translate processes an extended-query message: it queues messages for the Runner and the responses that the listener
// gives itself.
func (s *session) translate(m pgproto3.FrontendMessage) error {
	s.batch.isOpen = true
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.translateParse(m)
	case *pgproto3.Bind:
		return s.translateBind(m)
	case *pgproto3.Describe:
		return s.translateDescribe(m)
	case *pgproto3.Execute:
		return s.translateExecute(m)
	case *pgproto3.Close:
		s.translateClose(m)
		return nil
	case *pgproto3.Flush:
		s.batch.queue = append(s.batch.queue, m)
		return nil
	case *pgproto3.Sync:
		s.batch.isOpen, s.batch.isFailed, s.batch.collectedBytes = false, false, 0
		s.batch.forward(m, expectedResponse{messageType: 'S'})
		return nil
	}
	return classifier.New(classifier.BadMessage, "message %T is not allowed in an extended-query batch", m)
}

func (s *session) translateParse(m *pgproto3.Parse) error {
	old := s.statements[m.Name]
	switch {
	case m.Name != "" && old != nil:
		return newSQLStateError(sqlstateDuplicateStatement, "prepared statement %q already exists", m.Name)
	case len(s.statements) >= s.l.cfg.Limits.Statements || s.statementTextBytes+len(m.Query) > s.l.cfg.Limits.MessageBytes:
		return classifier.New(classifier.BadParameter, "session has %d prepared statements with %d bytes of text, the limits are %d and %d bytes",
			len(s.statements), s.statementTextBytes, s.l.cfg.Limits.Statements, s.l.cfg.Limits.MessageBytes)
	}
	statements := parser.Parse(m.Query)
	st := &preparedStatement{sql: m.Query, oids: m.ParameterOIDs, class: parser.ClassOf(statements)}
	if len(statements) == 1 {
		st.parsed = statements[0]
	}
	isLocal := len(statements) == 1 && s.isLocal(statements[0])
	if !isLocal {
		if err := s.checkAllowed(statements, s.unitClass()); err != nil {
			return err
		}
	}
	if err := s.account.Keep(len(st.sql)); err != nil {
		return err
	}
	s.account.Unkeep(len(st.sql)) // setStatement accounts for it, also when a statement is restored
	s.setStatement(m.Name, st)
	if isLocal {
		s.respond(&pgproto3.ParseComplete{})
		return nil
	}
	s.batch.forward(&pgproto3.Parse{Query: st.sql, ParameterOIDs: st.oids},
		expectedResponse{messageType: 'P', undo: &undo{name: m.Name, previous: old}})
	s.batch.unnamedStatement = st
	return nil
}

// setStatement stores st under a name, or deletes the statement of that name if st is nil.
func (s *session) setStatement(name string, st *preparedStatement) {
	if old := s.statements[name]; old != nil {
		s.statementTextBytes -= len(old.sql)
		s.account.Unkeep(len(old.sql))
	}
	if st == nil {
		delete(s.statements, name)
		return
	}
	s.statementTextBytes += len(st.sql)
	s.account.Add(budgeter.Kept, int64(len(st.sql)+budgeter.EntryBytes))
	if s.statements == nil {
		s.statements = make(map[string]*preparedStatement)
	}
	s.statements[name] = st
}

func (s *session) translateBind(m *pgproto3.Bind) error {
	st := s.statements[m.PreparedStatement]
	if st == nil {
		return newSQLStateError(sqlstateInvalidStatementName, "prepared statement %q does not exist", m.PreparedStatement)
	}
	p := portal{statement: st}
	if len(m.ResultFormatCodes) > 0 {
		p.showFormat = m.ResultFormatCodes[0]
	}
	if len(s.batch.portals) >= s.l.cfg.Limits.Statements {
		return classifier.New(classifier.BadParameter, "unit has %d portals, the limit is %d", len(s.batch.portals), s.l.cfg.Limits.Statements)
	}
	if s.batch.portals == nil {
		s.batch.portals = make(map[string]portal)
	}
	if s.isLocal(st.parsed) {
		s.batch.portals[m.DestinationPortal] = p
		s.respond(&pgproto3.BindComplete{})
		return nil
	}
	if err := s.ensurePrepared(st); err != nil {
		return err
	}
	s.batch.portals[m.DestinationPortal] = p
	m.PreparedStatement = ""
	s.batch.forward(m, expectedResponse{messageType: 'B'})
	return nil
}

// ensurePrepared makes st the unnamed statement of the backend connection, provided that st is allowed there. If the
// connection holds another one, it queues a Parse whose response the client does not see.
func (s *session) ensurePrepared(st *preparedStatement) error {
	if err := s.checkAllowed([]parser.Statement{st.parsed}, s.unitClass()); err != nil {
		return err
	}
	if s.batch.unnamedStatement == st {
		return nil
	}
	s.batch.unnamedStatement = st
	s.batch.forward(&pgproto3.Parse{Query: st.sql, ParameterOIDs: st.oids}, expectedResponse{messageType: 'P', isSuppressed: true})
	return nil
}

func (s *session) translateDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p := s.batch.portals[m.Name]
		if p.statement != nil && s.isLocal(p.statement.parsed) {
			s.respond(describeLocal(p.statement.parsed, p.showFormat))
			return nil
		}
		s.batch.forward(m, expectedResponse{messageType: 'D'})
		return nil
	}
	st := s.statements[m.Name]
	if st == nil {
		return newSQLStateError(sqlstateInvalidStatementName, "prepared statement %q does not exist", m.Name)
	}
	if s.isLocal(st.parsed) {
		s.respond(&pgproto3.ParameterDescription{}, describeLocal(st.parsed, 0))
		return nil
	}
	if err := s.ensurePrepared(st); err != nil {
		return err
	}
	m.Name = ""
	s.batch.forward(m, expectedResponse{messageType: 'D'})
	return nil
}

func describeLocal(st parser.Statement, format int16) pgproto3.BackendMessage {
	if st.Action == parser.Show {
		return describeShow(st.Name, format)
	}
	return &pgproto3.NoData{}
}

func (s *session) translateExecute(m *pgproto3.Execute) error {
	p := s.batch.portals[m.Portal]
	if p.statement != nil && s.isLocal(p.statement.parsed) {
		messages, err := s.runLocal(p.statement.parsed)
		if err != nil {
			return err
		}
		s.respond(messages...)
		return nil
	}
	class := exchanger.Write
	if p.statement == nil {
		s.stream.mayEndTransaction = true // the listener does not know what the portal executes
	} else {
		if err := s.checkAllowed([]parser.Statement{p.statement.parsed}, s.unitClass()); err != nil {
			return err
		}
		class = p.statement.class
		s.stream.recordTransactionEnd([]parser.Statement{p.statement.parsed})
	}
	s.batch.class = parser.CombineClasses(s.batch.class, class)
	s.batch.forward(m, expectedResponse{messageType: 'E'})
	return nil
}

func (s *session) translateClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		s.setStatement(m.Name, nil)
		s.respond(&pgproto3.CloseComplete{})
		return
	}
	p := s.batch.portals[m.Name]
	delete(s.batch.portals, m.Name)
	if p.statement != nil && s.isLocal(p.statement.parsed) {
		s.respond(&pgproto3.CloseComplete{})
		return
	}
	s.batch.forward(m, expectedResponse{messageType: 'C'})
}

// respond sends messages of the listener, after the responses that are still expected.
func (s *session) respond(messages ...pgproto3.BackendMessage) {
	s.batch.expected = append(s.batch.expected, expectedResponse{localMessages: messages})
	s.sendDueLocalResponses()
}

// sendDueLocalResponses sends the listener's own responses up to the first one that is expected from the Runner.
func (s *session) sendDueLocalResponses() {
	b := &s.batch
	for len(b.expected) > 0 && b.expected[0].messageType == 0 {
		for _, m := range b.expected[0].localMessages {
			s.out.send(m)
		}
		b.removeFirst()
	}
}

// removeFirst removes the first expected response. It keeps the capacity of the slice.
func (b *batch) removeFirst() {
	n := copy(b.expected, b.expected[1:])
	b.expected[n] = expectedResponse{}
	b.expected = b.expected[:n]
}

// undoPendingParses drops all expected responses, and restores the prepared statements whose Parse the Runner has
// not confirmed.
func (s *session) undoPendingParses() {
	for len(s.batch.expected) > 0 {
		s.undoLast()
	}
}

// undoLast drops the last expected response and restores the prepared statement that its message changed.
func (s *session) undoLast() {
	last := len(s.batch.expected) - 1
	if u := s.batch.expected[last].undo; u != nil {
		s.setStatement(u.name, u.previous)
	}
	s.batch.expected[last] = expectedResponse{}
	s.batch.expected = s.batch.expected[:last]
}
