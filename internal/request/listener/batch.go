package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/framer"
	"parsleyscale/internal/request/parser"
)

// messageOverhead is the memory of a decoded message beyond its bytes.
const messageOverhead = 128

// refusedName is a statement that no backend connection has. Describing it
// makes the instance fail the caller's transaction, as PostgreSQL would for
// the error that the front found.
const refusedName = "parsleyscale_refused"

// statement is a prepared statement of a session.
type statement struct {
	sql    string
	oids   []uint32
	class  exchanger.Class
	parsed parser.Statement
}

// portal is a bound statement of a unit.
type portal struct {
	st     *statement
	format int16 // of the column of SHOW
}

// expected is an answer that is still to come. The order of the answers of a
// Runner and of the front follows the order of the caller's messages.
type expected struct {
	kind        byte // type of the caller's message; 0: the front's own answer
	isSwallowed bool // the caller did not send the message
	isPoison    bool // the answer is the error in batch.refusal
	answer      []pgproto3.BackendMessage
	undo        *undo
}

// undo restores a prepared statement when the message that changed it fails.
type undo struct {
	name string
	old  *statement
}

// batch holds the messages of a unit between the caller and the Runner.
type batch struct {
	queue    []pgproto3.FrontendMessage // for the Runner
	head     int
	expect   []expected
	portals  map[string]portal
	current  *statement // that the backend's unnamed statement holds
	class    exchanger.Class
	bytes    int
	isOpen   bool // extended messages since the last Sync
	isFailed bool // messages up to Sync have no effect
	refusal  *pgproto3.ErrorResponse
}

// forward queues a message for the Runner.
func (b *batch) forward(m pgproto3.FrontendMessage, e expected) {
	b.queue = append(b.queue, m)
	b.expect = append(b.expect, e)
}

// pop returns the next message for the Runner, or nil.
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

// poisonQuery makes a transaction fail with err.
func (b *batch) poisonQuery(err error) {
	b.refusal = errorResponse(err, "ERROR")
	b.forward(&pgproto3.Query{String: refusedName}, expected{kind: 'Q', isPoison: true})
}

// poisonBatch makes a transaction fail with err after the answers that are still to come.
func (b *batch) poisonBatch(err error) {
	b.refusal = errorResponse(err, "ERROR")
	b.isFailed = true
	b.forward(&pgproto3.Describe{ObjectType: 'S', Name: refusedName}, expected{kind: 'D', isPoison: true})
}

// reset forgets a unit, but not the bytes that count against the limit. Buffers of an unusual size are not kept.
func (b *batch) reset() {
	const kept = 64
	queue, expect := b.queue, b.expect
	if cap(queue) > kept || cap(expect) > kept {
		queue, expect = nil, nil
	}
	clear(queue)
	clear(expect)
	clear(b.portals)
	*b = batch{queue: queue[:0], expect: expect[:0], portals: b.portals, class: exchanger.Read, bytes: b.bytes}
}

// serveBatch collects an extended batch and runs it. The Runner needs the
// class of the whole batch before its first message. A Flush ends the
// collection early; what follows it is not known, so that the unit counts as a write.
func (s *session) serveBatch(m pgproto3.FrontendMessage) error {
	s.resetUnit()
	for {
		if err := s.translate(m); err != nil {
			return s.refuseBatch(err)
		}
		if _, isFlush := m.(*pgproto3.Flush); isFlush {
			s.batch.class = parser.Strictest(s.batch.class, exchanger.Write)
			break
		}
		if !s.batch.isOpen {
			break
		}
		var err error
		if m, err = s.nextOfBatch(); err != nil {
			return err
		}
	}
	if !s.needsRunner() {
		return s.ready()
	}
	return s.run(s.batch.class)
}

// resetUnit forgets the previous unit.
func (s *session) resetUnit() {
	s.batch.reset()
	s.stream = stream{s: s, class: exchanger.Read}
}

// unitClass returns the class of the unit as far as it is known.
func (s *session) unitClass() exchanger.Class {
	return parser.Strictest(s.stream.class, s.batch.class)
}

// needsRunner reports whether the batch has more than a Sync for the Runner.
func (s *session) needsRunner() bool {
	if len(s.batch.queue) != 1 {
		return true
	}
	_, isSync := s.batch.queue[0].(*pgproto3.Sync)
	return !isSync
}

// refuseBatch answers a batch of which nothing has been run.
func (s *session) refuseBatch(err error) error {
	s.undoAll()
	isOpen := s.batch.isOpen
	s.batch.reset()
	s.out.send(errorResponse(err, "ERROR"))
	if isOpen {
		if err := s.skipToSync(); err != nil {
			return err
		}
	}
	return s.ready()
}

// skipToSync drops the rest of a failed batch.
func (s *session) skipToSync() error {
	if err := s.out.flush(); err != nil {
		return err
	}
	for {
		m, err := s.nextOfBatch()
		if err != nil {
			return err
		}
		switch m.(type) {
		case *pgproto3.Sync:
			s.batch.isOpen = false
			return nil
		case *pgproto3.Terminate:
			return errCallerGone
		}
		s.batch.bytes = 0
	}
}

// nextOfBatch reads a message of an open batch.
func (s *session) nextOfBatch() (pgproto3.FrontendMessage, error) {
	kind, body, err := s.next(s.l.cfg.Limits.IdleInTransaction)
	if err != nil {
		return nil, s.readError(err, "sending a batch")
	}
	return s.decodeOfBatch(kind, body)
}

// decodeOfBatch returns the message and counts its bytes against the limit of a batch.
func (s *session) decodeOfBatch(kind byte, body []byte) (pgproto3.FrontendMessage, error) {
	s.batch.bytes += len(body) + messageOverhead
	if s.batch.bytes > s.l.cfg.Limits.MessageBytes+messageOverhead {
		return nil, classifier.New(classifier.MessageTooLarge, "batch is over %d bytes", s.l.cfg.Limits.MessageBytes)
	}
	return framer.Decode(kind, body)
}

// translate turns a message of an extended batch into messages for the Runner and answers of the front.
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
		s.batch.isOpen, s.batch.isFailed, s.batch.bytes = false, false, 0
		s.batch.forward(m, expected{kind: 'S'})
		return nil
	}
	return classifier.New(classifier.BadMessage, "message %T in an extended batch", m)
}

func (s *session) translateParse(m *pgproto3.Parse) error {
	old := s.statements[m.Name]
	switch {
	case m.Name != "" && old != nil:
		return newStateError(codeDuplicateStatement, "prepared statement %q already exists", m.Name)
	case len(s.statements) >= s.l.cfg.Limits.Statements || s.textBytes+len(m.Query) > s.l.cfg.Limits.MessageBytes:
		return classifier.New(classifier.BadParameter, "session has %d prepared statements with %d bytes of text",
			len(s.statements), s.textBytes)
	}
	list := parser.Parse(m.Query)
	st := &statement{sql: m.Query, oids: m.ParameterOIDs, class: parser.ClassOf(list)}
	if len(list) == 1 {
		st.parsed = list[0]
	}
	isLocal := len(list) == 1 && s.isLocal(list[0])
	if !isLocal {
		if err := s.admit(list, s.unitClass()); err != nil {
			return err
		}
	}
	s.setStatement(m.Name, st)
	if isLocal {
		s.answer(&pgproto3.ParseComplete{})
		return nil
	}
	s.batch.forward(&pgproto3.Parse{Query: st.sql, ParameterOIDs: st.oids},
		expected{kind: 'P', undo: &undo{name: m.Name, old: old}})
	s.batch.current = st
	return nil
}

// setStatement keeps st under a name, or drops the statement of that name when st is nil.
func (s *session) setStatement(name string, st *statement) {
	if old := s.statements[name]; old != nil {
		s.textBytes -= len(old.sql)
	}
	if st == nil {
		delete(s.statements, name)
		return
	}
	s.textBytes += len(st.sql)
	if s.statements == nil {
		s.statements = make(map[string]*statement)
	}
	s.statements[name] = st
}

func (s *session) translateBind(m *pgproto3.Bind) error {
	st := s.statements[m.PreparedStatement]
	if st == nil {
		return newStateError(codeUnknownStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	p := portal{st: st}
	if len(m.ResultFormatCodes) > 0 {
		p.format = m.ResultFormatCodes[0]
	}
	if len(s.batch.portals) >= s.l.cfg.Limits.Statements {
		return classifier.New(classifier.BadParameter, "unit has %d portals", len(s.batch.portals))
	}
	if s.batch.portals == nil {
		s.batch.portals = make(map[string]portal)
	}
	if s.isLocal(st.parsed) {
		s.batch.portals[m.DestinationPortal] = p
		s.answer(&pgproto3.BindComplete{})
		return nil
	}
	if err := s.prepare(st); err != nil {
		return err
	}
	s.batch.portals[m.DestinationPortal] = p
	m.PreparedStatement = ""
	s.batch.forward(m, expected{kind: 'B'})
	return nil
}

// prepare makes st the unnamed statement of the backend connection.
func (s *session) prepare(st *statement) error {
	if err := s.admit([]parser.Statement{st.parsed}, s.unitClass()); err != nil {
		return err
	}
	if s.batch.current == st {
		return nil
	}
	s.batch.current = st
	s.batch.forward(&pgproto3.Parse{Query: st.sql, ParameterOIDs: st.oids}, expected{kind: 'P', isSwallowed: true})
	return nil
}

func (s *session) translateDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p := s.batch.portals[m.Name]
		if p.st != nil && s.isLocal(p.st.parsed) {
			s.answer(describeLocal(p.st.parsed, p.format))
			return nil
		}
		s.batch.forward(m, expected{kind: 'D'})
		return nil
	}
	st := s.statements[m.Name]
	if st == nil {
		return newStateError(codeUnknownStatement, "prepared statement %q does not exist", m.Name)
	}
	if s.isLocal(st.parsed) {
		s.answer(&pgproto3.ParameterDescription{}, describeLocal(st.parsed, 0))
		return nil
	}
	if err := s.prepare(st); err != nil {
		return err
	}
	m.Name = ""
	s.batch.forward(m, expected{kind: 'D'})
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
	if p.st != nil && s.isLocal(p.st.parsed) {
		messages, err := s.answerLocal(p.st.parsed)
		if err != nil {
			return err
		}
		s.answer(messages...)
		return nil
	}
	class := exchanger.Write
	if p.st == nil {
		s.stream.mayCommit = true // a portal that the front does not know
	} else {
		if err := s.admit([]parser.Statement{p.st.parsed}, s.unitClass()); err != nil {
			return err
		}
		class = p.st.class
		s.stream.noteEnds([]parser.Statement{p.st.parsed})
	}
	s.batch.class = parser.Strictest(s.batch.class, class)
	s.batch.forward(m, expected{kind: 'E'})
	return nil
}

func (s *session) translateClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		s.setStatement(m.Name, nil)
		s.answer(&pgproto3.CloseComplete{})
		return
	}
	p := s.batch.portals[m.Name]
	delete(s.batch.portals, m.Name)
	if p.st != nil && s.isLocal(p.st.parsed) {
		s.answer(&pgproto3.CloseComplete{})
		return
	}
	s.batch.forward(m, expected{kind: 'C'})
}

// answer sends messages of the front after the answers that are still to come.
func (s *session) answer(messages ...pgproto3.BackendMessage) {
	s.batch.expect = append(s.batch.expect, expected{answer: messages})
	s.answerDue()
}

// answerDue sends the front's own answers whose turn has come.
func (s *session) answerDue() {
	b := &s.batch
	for len(b.expect) > 0 && b.expect[0].kind == 0 {
		for _, m := range b.expect[0].answer {
			s.out.send(m)
		}
		b.dropFirst()
	}
}

// dropFirst forgets the first expected answer and keeps the memory of the list.
func (b *batch) dropFirst() {
	n := copy(b.expect, b.expect[1:])
	b.expect[n] = expected{}
	b.expect = b.expect[:n]
}

// undoAll takes back the prepared statements whose Parse was not answered.
func (s *session) undoAll() {
	for len(s.batch.expect) > 0 {
		s.undoLast()
	}
}

func (s *session) undoLast() {
	last := len(s.batch.expect) - 1
	if u := s.batch.expect[last].undo; u != nil {
		s.setStatement(u.name, u.old)
	}
	s.batch.expect[last] = expected{}
	s.batch.expect = s.batch.expect[:last]
}
