package listener

import (
	"errors"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/parser"
	"parsleyscale/internal/session/tokenizer"
)

// The parameters that callers can set.
const (
	parameterSession = "parsleyscale.session"
	parameterRead    = "parsleyscale.read"
	parameterKey     = "parsleyscale.key"
	parameterToken   = "parsleyscale.token"
)

// The parameters that callers can show: the instance that ran the last unit, and why it did.
const (
	parameterServedBy = "parsleyscale.served_by"
	parameterReason   = "parsleyscale.reason"
)

// maxSessionBytes bounds a session identity.
const maxSessionBytes = 256

// textOID is the type of the column that SHOW returns.
const textOID = 25

// settings are the parameters of a session.
type settings struct {
	session  string
	readKind string
	key      string          // of the next write only
	token    tokenizer.Token // what this connection knows of the session
	hasToken bool            // the caller supplied a token
}

// harmless lists the parameters of PostgreSQL whose SET is accepted and has no
// effect, with the values that agree with a backend connection; nil allows any.
var harmless = map[string][]string{
	"application_name":                    nil,
	"client_min_messages":                 nil,
	"extra_float_digits":                  nil,
	"bytea_output":                        {"hex"},
	"client_encoding":                     {"utf8", "utf-8", "unicode"},
	"datestyle":                           {"iso", "iso, mdy"},
	"default_transaction_read_only":       {"off", "false"},
	"idle_in_transaction_session_timeout": {"0"},
	"intervalstyle":                       {"postgres"},
	"lock_timeout":                        {"0"},
	"standard_conforming_strings":         {"on", "true"},
	"statement_timeout":                   {"0"},
	"synchronous_commit":                  {"on"},
	"timezone":                            {"utc", "etc/utc", "gmt"},
}

// notSettings are names in a start-up message that are no run-time parameters.
var notSettings = []string{"user", "database", "replication", "options"}

// applyStartUp sets the parameters of a start-up message and of its options text.
func (s *session) applyStartUp(parameters map[string]string) error {
	options, err := parseOptions(parameters["options"])
	if err != nil {
		return err
	}
	for _, o := range options {
		if err := s.set(o[0], o[1]); err != nil {
			return err
		}
	}
	for name, value := range parameters {
		if slices.Contains(notSettings, name) {
			continue
		}
		if err := s.set(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

// parseOptions reads "-c name=value" and "--name=value", separated by blanks; a backslash escapes a blank.
func parseOptions(text string) ([][2]string, error) {
	text = strings.ReplaceAll(text, `\ `, "\x00")
	var list [][2]string
	fields := strings.Fields(text)
	for i := 0; i < len(fields); i++ {
		f := fields[i]
		switch {
		case f == "-c" && i+1 < len(fields):
			i++
			f = fields[i]
		case strings.HasPrefix(f, "--"):
			f = f[2:]
		case strings.HasPrefix(f, "-c"):
			f = f[2:]
		default:
			return nil, classifier.New(classifier.Unsupported, "start-up option %q", f)
		}
		name, value, ok := strings.Cut(f, "=")
		if !ok {
			return nil, classifier.New(classifier.BadParameter, "start-up option %q has no value", f)
		}
		list = append(list, [2]string{strings.ToLower(name), strings.ReplaceAll(value, "\x00", " ")})
	}
	return list, nil
}

// check asks whether the sheet has the session's database and a read kind.
func (s *session) check(readKind string) error {
	err := s.l.cfg.Check(s.database, readKind)
	var e *errorx.Error
	switch {
	case err == nil || errors.As(err, &e):
		return err
	case readKind == "":
		return classifier.Wrap(classifier.UnknownDatabase, err, "database %q", s.database)
	}
	return classifier.Wrap(classifier.UnknownReadKind, err, "read kind %q", readKind)
}

// set changes one parameter. The empty value resets it.
func (s *session) set(name, value string) error {
	switch name {
	case parameterSession:
		return s.setSession(value)
	case parameterRead:
		return s.setReadKind(value)
	case parameterKey:
		return s.setKey(value)
	case parameterToken:
		return s.setToken(value)
	}
	if strings.HasPrefix(name, "parsleyscale.") {
		return classifier.New(classifier.BadParameter, "unknown parameter %q", name)
	}
	allowed, isKnown := harmless[name]
	if !isKnown || allowed != nil && !slices.Contains(allowed, strings.ToLower(value)) {
		return classifier.New(classifier.Unsupported, "parameter %q cannot be set to %q on shared backend connections", name, value)
	}
	if name == "application_name" {
		s.out.send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	return nil
}

// setSession changes the session identity. A token that came with the previous identity no longer counts as supplied.
func (s *session) setSession(value string) error {
	if len(value) > maxSessionBytes {
		return classifier.New(classifier.BadParameter, "%s is longer than %d bytes", parameterSession, maxSessionBytes)
	}
	if s.settings.session != "" && s.settings.session != value {
		s.settings.hasToken = false
	}
	s.settings.session = value
	return nil
}

func (s *session) setReadKind(value string) error {
	if value != "" {
		if err := s.check(value); err != nil {
			return err
		}
	}
	s.settings.readKind = value
	return nil
}

func (s *session) setKey(value string) error {
	if value != "" {
		id, err := uuid.Parse(value)
		if err != nil || id.Version() != 7 {
			return classifier.New(classifier.BadKey, "%s %.64q is not a UUID version 7", parameterKey, value)
		}
		value = id.String()
	}
	s.settings.key = value
	return nil
}

// setToken raises the floors of the connection. They never fall, because the connection is a session by itself.
func (s *session) setToken(value string) error {
	t, err := s.l.cfg.Tokens.Decode(value)
	if err != nil {
		return classifier.Wrap(classifier.BadToken, err, "%s", parameterToken)
	}
	s.settings.token = s.settings.token.Merge(t)
	s.settings.hasToken = value != ""
	return nil
}

// show returns the value of one of parsleyscale's parameters.
func (s *session) show(name string) (string, error) {
	switch name {
	case parameterSession:
		return s.settings.session, nil
	case parameterRead:
		return s.settings.readKind, nil
	case parameterKey:
		return s.settings.key, nil
	case parameterToken:
		return s.encodeToken()
	case parameterServedBy:
		return s.served.ServedBy, nil
	case parameterReason:
		return s.served.Reason, nil
	}
	return "", classifier.New(classifier.BadParameter, "unknown parameter %q", name)
}

func (s *session) encodeToken() (string, error) {
	if s.settings.token.IsEmpty() {
		return "", nil
	}
	return s.l.cfg.Tokens.Encode(s.settings.token)
}

// isLocal reports whether the front answers a statement by itself.
func isLocal(st parser.Statement) bool {
	switch st.Action {
	case parser.Show, parser.Reset, parser.Deallocate:
		return true
	case parser.Set:
		return !st.Local || st.IsOwn()
	}
	return false
}

// isLocal reports whether the front answers a statement now. It also ends a transaction that a Runner has lost.
func (s *session) isLocal(st parser.Statement) bool {
	return isLocal(st) || s.isFailed && st.Action == parser.End
}

// answerLocal runs a statement that the front answers by itself and returns the messages for the caller.
func (s *session) answerLocal(st parser.Statement) ([]pgproto3.BackendMessage, error) {
	tag := strings.ToUpper(st.Keyword)
	var err error
	switch {
	case st.Action == parser.End:
		s.isFailed = false
		tag = "ROLLBACK"
	case st.Action == parser.Show:
		return s.answerShow(st.Name)
	case st.Action == parser.Deallocate:
		s.deallocate(st.Name)
	case st.Action == parser.Reset && st.Name == "all":
		s.resetAll()
	case st.Local:
		err = classifier.New(classifier.BadParameter, "%s cannot be set for one transaction", st.Name)
	case st.Action == parser.Reset || st.Default:
		err = s.reset(st.Name)
	default:
		err = s.set(st.Name, st.Value)
	}
	if err != nil {
		return nil, err
	}
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}, nil
}

// reset gives a parameter its default; PostgreSQL's own have it already.
func (s *session) reset(name string) error {
	if _, isKnown := harmless[name]; isKnown {
		return nil
	}
	return s.set(name, "")
}

func (s *session) resetAll() {
	s.settings = settings{token: s.settings.token}
}

func (s *session) answerShow(name string) ([]pgproto3.BackendMessage, error) {
	value, err := s.show(name)
	if err != nil {
		return nil, err
	}
	return []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	}, nil
}

// describeShow returns the description of the row of SHOW. Text and binary format of a text column are the same.
func describeShow(name string, format int16) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
		Format:       format,
	}}}
}

func (s *session) deallocate(name string) {
	if name == "" {
		s.statements, s.textBytes = nil, 0
		return
	}
	s.setStatement(name, nil)
}
