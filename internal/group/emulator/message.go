package emulator

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// handleMessage runs one message. It returns an error only when the session has to end.
func (x *session) handleMessage(m pgproto3.FrontendMessage) error {
	if q, ok := m.(*pgproto3.Query); ok {
		return x.simpleQuery(q.String)
	}
	if _, ok := m.(*pgproto3.Sync); ok {
		return x.sync()
	}
	if x.skipping {
		return nil
	}
	x.sendPending()
	if err := x.extended(m); err != nil {
		x.skipping = true
		return x.fail(err)
	}
	return nil
}

// fail answers an error and fails the transaction. It returns an error only
// when the session has to end.
func (x *session) fail(err error) error {
	x.pending = nil
	p := classify(err)
	x.mu.Lock()
	if x.reason != nil {
		p = x.reason
	}
	x.mu.Unlock()
	if p.fatal {
		return p
	}
	x.failTransaction()
	x.backend.Send(p.response())
	return nil
}

// simpleQuery runs the statements of a Query message as one implicit transaction.
func (x *session) simpleQuery(text string) error {
	x.skipping = false
	if err := x.runSimple(text); err != nil {
		if err := x.fail(err); err != nil {
			return err
		}
	}
	x.ready()
	return x.flush()
}

func (x *session) runSimple(text string) error {
	list, err := parseStatements(text)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, s := range list {
		x.sendPending()
		if err := x.runSimpleStatement(s); err != nil {
			return err
		}
	}
	return x.finishBatch()
}

func (x *session) runSimpleStatement(s *statement) error {
	if len(s.params) > 0 {
		return refuse(stateUndefinedParameter, "there is no parameter $1")
	}
	ctx, finish := x.start()
	defer finish()
	p := &portal{statement: s}
	defer p.close()
	if s.returns() && (x.tx == nil || !x.tx.failed) {
		columns, err := x.describe(s)
		if err != nil {
			return err
		}
		p.columns = columns
		x.backend.Send(rowDescription(columns, p))
	}
	return x.execute(ctx, p, 0)
}

// finishBatch commits an implicit transaction and sends the last CommandComplete.
func (x *session) finishBatch() error {
	if x.tx != nil && !x.tx.explicit {
		if err := x.commit(); err != nil {
			return err
		}
	}
	x.sendPending()
	return nil
}

// sync ends an extended batch.
func (x *session) sync() error {
	if !x.skipping {
		if err := x.finishBatch(); err != nil {
			if err := x.fail(err); err != nil {
				return err
			}
		}
	}
	x.skipping = false
	if x.tx == nil {
		x.closePortals()
	}
	x.ready()
	return x.flush()
}

// extended runs one message of the extended protocol besides Sync.
func (x *session) extended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return x.parse(m)
	case *pgproto3.Bind:
		return x.bind(m)
	case *pgproto3.Describe:
		return x.describeObject(m)
	case *pgproto3.Execute:
		return x.executePortal(m)
	case *pgproto3.Close:
		x.closeObject(m)
		return nil
	case *pgproto3.Flush:
		return x.flushNow()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // rest of a copy that was refused
	}
	return refuse(stateFeatureNotSupported, "message %T is not supported", m)
}

func (x *session) flushNow() error {
	if err := x.flush(); err != nil {
		return fatal(stateInternal, "write to client: %s", err)
	}
	return nil
}

func (x *session) parse(m *pgproto3.Parse) error {
	if _, ok := x.statements[m.Name]; ok && m.Name != "" {
		return refuse(stateDuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	list, err := parseStatements(m.Query)
	if err != nil {
		return err
	}
	var s *statement
	switch len(list) {
	case 0:
		s = &statement{class: classEmpty}
	case 1:
		s = list[0]
	default:
		return refuse(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	for i, oid := range m.ParameterOIDs {
		if i < len(s.params) && oid != 0 {
			s.params[i] = oid
		}
	}
	x.statements[m.Name] = s
	x.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (x *session) statement(name string) (*statement, error) {
	s, ok := x.statements[name]
	if !ok {
		return nil, refuse(stateInvalidStatementName, "prepared statement %q does not exist", name)
	}
	return s, nil
}

func (x *session) bind(m *pgproto3.Bind) error {
	s, err := x.statement(m.PreparedStatement)
	if err != nil {
		return err
	}
	if len(m.Parameters) != len(s.params) {
		return refuse(stateProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(s.params))
	}
	args := make([]arg, len(s.params))
	for i, src := range m.Parameters {
		if args[i], err = decodeArg(src, parameterFormat(m, i), x.parameterType(s, i, src)); err != nil {
			return err
		}
	}
	if old := x.portals[m.DestinationPortal]; old != nil {
		old.close()
	}
	x.portals[m.DestinationPortal] = &portal{statement: s, args: args, formats: slices.Clone(m.ResultFormatCodes)}
	x.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func parameterFormat(m *pgproto3.Bind, i int) int16 {
	switch n := len(m.ParameterFormatCodes); {
	case n == 0:
		return formatText
	case n == 1:
		return m.ParameterFormatCodes[0]
	case i < n:
		return m.ParameterFormatCodes[i]
	}
	return formatText
}

func (x *session) describeObject(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, err := x.portal(m.Name)
		if err != nil {
			return err
		}
		return x.describeRows(p.statement, p)
	}
	s, err := x.statement(m.Name)
	if err != nil {
		return err
	}
	x.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: s.params})
	return x.describeRows(s, &portal{})
}

// describeRows answers with the columns that s returns, in the formats of p.
func (x *session) describeRows(s *statement, p *portal) error {
	if !s.returns() {
		x.backend.Send(&pgproto3.NoData{})
		return nil
	}
	columns, err := x.describe(s)
	if err != nil {
		return err
	}
	p.columns = columns
	x.backend.Send(rowDescription(columns, p))
	return nil
}

func rowDescription(columns []column, p *portal) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(columns))}
	for i, c := range columns {
		d.Fields[i] = pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: sizeOf(c.oid), TypeModifier: -1, Format: p.format(i),
		}
	}
	return d
}

func (x *session) portal(name string) (*portal, error) {
	p, ok := x.portals[name]
	if !ok {
		return nil, refuse(stateInvalidPortalName, "portal %q does not exist", name)
	}
	return p, nil
}

func (x *session) executePortal(m *pgproto3.Execute) error {
	p, err := x.portal(m.Portal)
	if err != nil {
		return err
	}
	if p.statement.class == classEmpty {
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, finish := x.start()
	defer finish()
	return x.execute(ctx, p, int(m.MaxRows))
}

func (x *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(x.statements, m.Name)
	} else if p, ok := x.portals[m.Name]; ok {
		p.close()
		delete(x.portals, m.Name)
	}
	x.backend.Send(&pgproto3.CloseComplete{})
}
