package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/parser"
)

// serveQuery serves a simple query between units.
func (s *session) serveQuery(m *pgproto3.Query) error {
	s.resetUnit()
	list, err := s.answerLeading(m, exchanger.Read)
	if err != nil {
		s.out.send(errorResponse(err, "ERROR"))
	}
	if err != nil || len(list) == 0 {
		return s.ready()
	}
	s.stream.noteEnds(list)
	s.batch.forward(m, expected{kind: 'Q'})
	return s.run(parser.ClassOf(list))
}

// continueQuery serves a simple query inside a unit.
func (s *session) continueQuery(m *pgproto3.Query) error {
	list, err := s.answerLeading(m, s.stream.class)
	if err != nil {
		s.batch.poisonQuery(err)
		return nil
	}
	if len(list) == 0 {
		s.out.send(&pgproto3.ReadyForQuery{TxStatus: s.stream.status})
		return s.out.flush()
	}
	s.stream.noteEnds(list)
	s.batch.current = nil // a simple query destroys the unnamed statement
	s.batch.forward(m, expected{kind: 'Q'})
	return nil
}

// answerLeading answers the statements at the start of a query that need no
// Runner. It cuts them off m and returns the others.
func (s *session) answerLeading(m *pgproto3.Query, class exchanger.Class) ([]parser.Statement, error) {
	list := parser.Parse(m.String)
	if len(list) == 0 {
		return nil, s.out.send(&pgproto3.EmptyQueryResponse{})
	}
	isCut := false
	for len(list) > 0 && s.isLocal(list[0]) {
		if err := s.answerQuery(list[0]); err != nil {
			return nil, err
		}
		list, isCut = list[1:], true
	}
	if len(list) == 0 {
		return nil, nil
	}
	if isCut {
		m.String = m.String[list[0].Start:]
	}
	return list, s.admit(list, parser.Strictest(class, parser.ClassOf(list)))
}

// answerQuery answers one statement of a simple query.
func (s *session) answerQuery(st parser.Statement) error {
	messages, err := s.answerLocal(st)
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

// admit refuses statements that must not reach a shared backend connection.
func (s *session) admit(list []parser.Statement, class exchanger.Class) error {
	if s.isFailed {
		return errFailedTransaction
	}
	for _, st := range list {
		switch {
		case st.Action == parser.Refuse:
			return classifier.New(classifier.Unsupported, "%.40q is not supported on shared backend connections", st.Text)
		case st.Action == parser.Set && class == exchanger.ReadOnlyTransaction:
			// SET TRANSACTION READ WRITE would turn it into a write that is never confirmed.
			return classifier.New(classifier.Unsupported, "%.40q is not supported in a read-only transaction", st.Text)
		case isLocal(st):
			return classifier.New(classifier.Unsupported, "%.40q has to come before other statements of a query", st.Text)
		}
	}
	return nil
}
