package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/parser"
)

// serveQuery serves a simple query that arrives outside of a unit.
func (s *session) serveQuery(m *pgproto3.Query) error {
	s.resetUnit()
	statements, err := s.answerLeadingStatements(m, exchanger.Read)
	if err != nil {
		s.out.send(errorResponse(err, "ERROR"))
	}
	if err != nil || len(statements) == 0 {
		return s.sendReadyForQuery()
	}
	s.stream.recordTransactionEnd(statements)
	s.batch.forward(m, expectedResponse{messageType: 'Q'})
	return s.run(parser.ClassOf(statements))
}

// continueQuery queues a simple query that arrives inside a unit.
func (s *session) continueQuery(m *pgproto3.Query) error {
	statements, err := s.answerLeadingStatements(m, s.stream.class)
	if err != nil {
		s.batch.injectQueryError(err)
		return nil
	}
	if len(statements) == 0 {
		s.out.send(&pgproto3.ReadyForQuery{TxStatus: s.stream.status})
		return s.out.flush()
	}
	s.stream.recordTransactionEnd(statements)
	s.batch.unnamedStatement = nil // a simple query destroys the unnamed statement
	s.batch.forward(m, expectedResponse{messageType: 'Q'})
	return nil
}

// answerLeadingStatements executes the statements at the start of a query that the listener answers itself. It removes
// them from m and returns the remaining statements, which are for the Runner.
func (s *session) answerLeadingStatements(m *pgproto3.Query, class exchanger.Class) ([]parser.Statement, error) {
	statements := parser.Parse(m.String)
	if len(statements) == 0 {
		return nil, s.out.send(&pgproto3.EmptyQueryResponse{})
	}
	hasLocal := false
	for len(statements) > 0 && s.isLocal(statements[0]) {
		if err := s.answerLocalStatement(statements[0]); err != nil {
			return nil, err
		}
		statements, hasLocal = statements[1:], true
	}
	if len(statements) == 0 {
		return nil, nil
	}
	if hasLocal {
		m.String = m.String[statements[0].Start:]
	}
	return statements, s.checkAllowed(statements, parser.CombineClasses(class, parser.ClassOf(statements)))
}

// answerLocalStatement executes a statement of a simple query in the listener and sends the response.
func (s *session) answerLocalStatement(st parser.Statement) error {
	messages, err := s.runLocal(st)
	if err != nil {
		return err
	}
	if st.Action == parser.Show {
		s.out.send(describeShow(st.Name, 0))
	}
	for _, m := range messages {
		s.out.send(m)
	}
	return nil
}

// checkAllowed returns an error if a statement must not reach a shared backend connection.
func (s *session) checkAllowed(statements []parser.Statement, class exchanger.Class) error {
	if s.inFailedTransaction {
		return errFailedTransaction
	}
	for _, st := range statements {
		switch {
		case st.Action == parser.Refuse:
			return classifier.New(classifier.Unsupported, "%.40q is not supported on shared backend connections", st.Text)
		case st.Action == parser.Set && class == exchanger.ReadOnlyTransaction:
			// SET TRANSACTION READ WRITE would allow writes in a unit that is routed as a read, and whose
			// commit is not confirmed.
			return classifier.New(classifier.Unsupported, "%.40q is not supported in a read-only transaction", st.Text)
		case isAlwaysLocal(st):
			return classifier.New(classifier.Unsupported, "%.40q must come before the other statements of a query", st.Text)
		}
	}
	return nil
}
