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

// Parameters that clients can set and show.
const (
	parameterSession = "parsleyscale.session"
	parameterRead    = "parsleyscale.read"
	parameterKey     = "parsleyscale.key"
	parameterToken   = "parsleyscale.token"
)

// Parameters that clients can only show: the instance that executed the last unit, and why it was chosen.
const (
	parameterServedBy = "parsleyscale.served_by"
	parameterReason   = "parsleyscale.reason"
)

// maxSessionBytes limits the length of a session ID.
const maxSessionBytes = 256

// textOID is the OID of the type text, the type of the column that SHOW returns.
const textOID = 25

// params holds the values of the parsleyscale parameters of a session.
type params struct {
	session  string          // ID by which several connections of a client share read-your-writes consistency
	readKind string          // kind of read, as defined for the service of the database
	key      string          // request key (idempotency key) for the next write only
	token    tokenizer.Token // minimum log positions known to this connection
	hasToken bool            // the client supplied a token for the session ID
}

// ignoredParameters lists PostgreSQL parameters whose SET is accepted without effect. The values are those that agree
// with the settings of a backend connection; nil allows any value.
var ignoredParameters = map[string][]string{
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

// startupOnlyFields lists the fields of a startup message that are not run-time parameters.
var startupOnlyFields = []string{"user", "database", "replication", "options"}

// applyStartupParameters sets the parameters of a startup message, first those in its options field.
func (s *session) applyStartupParameters(parameters map[string]string) error {
	options, err := parseOptions(parameters["options"])
	if err != nil {
		return err
	}
	for _, o := range options {
		if err := s.setParameter(o[0], o[1]); err != nil {
			return err
		}
	}
	for name, value := range parameters {
		if slices.Contains(startupOnlyFields, name) {
			continue
		}
		if err := s.setParameter(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

// parseOptions parses the options field of a startup message: "-c name=value", "-cname=value" and "--name=value",
// separated by blanks. A backslash escapes a blank.
func parseOptions(text string) ([][2]string, error) {
	text = strings.ReplaceAll(text, `\ `, "\x00")
	var options [][2]string
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
			return nil, classifier.New(classifier.Unsupported, "startup option %q is not supported", f)
		}
		name, value, ok := strings.Cut(f, "=")
		if !ok {
			return nil, classifier.New(classifier.BadParameter, "startup option %q has no value", f)
		}
		options = append(options, [2]string{strings.ToLower(name), strings.ReplaceAll(value, "\x00", " ")})
	}
	return options, nil
}

// checkConfigured returns an error unless the configuration has the session's database and, if readKind is not empty,
// its service defines that kind of read.
func (s *session) checkConfigured(readKind string) error {
	err := s.l.cfg.CheckNames(s.database, readKind)
	var e *errorx.Error
	switch {
	case err == nil || errors.As(err, &e):
		return err
	case readKind == "":
		return classifier.Wrap(classifier.UnknownDatabase, err, "database %q", s.database)
	}
	return classifier.Wrap(classifier.UnknownReadKind, err, "read kind %q", readKind)
}

// setParameter changes one parameter. For a parsleyscale parameter, the empty value restores the default; the log
// positions of a token remain.
func (s *session) setParameter(name, value string) error {
	switch name {
	case parameterSession:
		return s.setSession(value)
	case parameterRead:
		return s.setReadKind(value)
	case parameterKey:
		return s.setRequestKey(value)
	case parameterToken:
		return s.setToken(value)
	}
	if strings.HasPrefix(name, "parsleyscale.") {
		return classifier.New(classifier.BadParameter, "unknown parameter %q", name)
	}
	allowed, isKnown := ignoredParameters[name]
	if !isKnown || allowed != nil && !slices.Contains(allowed, strings.ToLower(value)) {
		return classifier.New(classifier.Unsupported, "parameter %q cannot be set to %q on shared backend connections", name, value)
	}
	if name == "application_name" {
		s.out.send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	return nil
}

// setSession changes the session ID. The new session counts as having no token, because any supplied token belonged to
// the previous one.
func (s *session) setSession(value string) error {
	if len(value) > maxSessionBytes {
		return classifier.New(classifier.BadParameter, "%s is longer than %d bytes", parameterSession, maxSessionBytes)
	}
	if s.params.session != "" && s.params.session != value {
		s.params.hasToken = false
	}
	s.params.session = value
	return nil
}

func (s *session) setReadKind(value string) error {
	if value != "" {
		if err := s.checkConfigured(value); err != nil {
			return err
		}
	}
	s.params.readKind = value
	return nil
}

func (s *session) setRequestKey(value string) error {
	if value != "" {
		id, err := uuid.Parse(value)
		if err != nil || id.Version() != 7 {
			return classifier.New(classifier.BadKey, "%s %.64q is not a UUID version 7", parameterKey, value)
		}
		value = id.String()
	}
	s.params.key = value
	return nil
}

// setToken merges a token into the minimum log positions of the connection. They never decrease, because each
// connection is a session of its own, whatever session ID it sets.
func (s *session) setToken(value string) error {
	t, err := s.l.cfg.Tokens.Decode(value)
	if err != nil {
		return classifier.Wrap(classifier.BadToken, err, "%s", parameterToken)
	}
	s.params.token = s.params.token.Merge(t)
	s.params.hasToken = value != ""
	return nil
}

// parameterValue returns the value of a parsleyscale parameter.
func (s *session) parameterValue(name string) (string, error) {
	switch name {
	case parameterSession:
		return s.params.session, nil
	case parameterRead:
		return s.params.readKind, nil
	case parameterKey:
		return s.params.key, nil
	case parameterToken:
		return s.encodeToken()
	case parameterServedBy:
		return s.lastResult.ServedBy, nil
	case parameterReason:
		return s.lastResult.Reason, nil
	}
	return "", classifier.New(classifier.BadParameter, "unknown parameter %q", name)
}

func (s *session) encodeToken() (string, error) {
	if s.params.token.IsEmpty() {
		return "", nil
	}
	return s.l.cfg.Tokens.Encode(s.params.token)
}

// isAlwaysLocal reports whether the listener answers a statement itself, whatever the state of the session.
func isAlwaysLocal(st parser.Statement) bool {
	switch st.Action {
	case parser.Show, parser.Reset, parser.Deallocate:
		return true
	case parser.Set:
		return !st.Local || st.IsProxyParameter()
	}
	return false
}

// isLocal reports whether the listener answers a statement itself. After a failed transaction, that includes the
// statement that ends it.
func (s *session) isLocal(st parser.Statement) bool {
	return isAlwaysLocal(st) || s.inFailedTransaction && st.Action == parser.End
}

// runLocal executes a statement that the listener answers itself, and returns the response messages.
func (s *session) runLocal(st parser.Statement) ([]pgproto3.BackendMessage, error) {
	tag := strings.ToUpper(st.Keyword)
	var err error
	switch {
	case st.Action == parser.End:
		s.inFailedTransaction = false
		tag = "ROLLBACK"
	case st.Action == parser.Show:
		return s.showResponse(st.Name)
	case st.Action == parser.Deallocate:
		s.deallocate(st.Name)
	case st.Action == parser.Reset && st.Name == "all":
		s.resetAllParameters()
	case st.Local:
		err = classifier.New(classifier.BadParameter, "parameter %q cannot be set with SET LOCAL", st.Name)
	case st.Action == parser.Reset || st.Default:
		err = s.resetParameter(st.Name)
	default:
		err = s.setParameter(st.Name, st.Value)
	}
	if err != nil {
		return nil, err
	}
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}, nil
}

// resetParameter restores the default of a parameter. The ignored PostgreSQL parameters have no value here to
// restore.
func (s *session) resetParameter(name string) error {
	if _, isKnown := ignoredParameters[name]; isKnown {
		return nil
	}
	return s.setParameter(name, "")
}

// resetAllParameters restores the defaults of all parameters except the token, whose log positions never decrease.
func (s *session) resetAllParameters() {
	s.params = params{token: s.params.token}
}

// showResponse returns the messages that answer SHOW, without the row description.
func (s *session) showResponse(name string) ([]pgproto3.BackendMessage, error) {
	value, err := s.parameterValue(name)
	if err != nil {
		return nil, err
	}
	return []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	}, nil
}

// describeShow returns the row description for SHOW. The format code needs no conversion of the row, because a text
// column has the same text and binary format.
func describeShow(name string, format int16) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
		Format:       format,
	}}}
}

// deallocate deletes the prepared statement of the given name, or all of them if name is empty.
func (s *session) deallocate(name string) {
	if name == "" {
		s.statements, s.statementTextBytes = nil, 0
		return
	}
	s.setStatement(name, nil)
}
