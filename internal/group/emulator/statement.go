package emulator

import (
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// class says how the session runs a statement.
type class int

const (
	classRead class = iota
	classWrite
	classBegin
	classCommit
	classRollback
	classSavepoint
	classRollbackTo
	classRelease
	classSet
	classShow
	classDiscard
	classGroup // function of a control connection
	classEmpty
)

// maxParameters is PostgreSQL's limit, which follows from the 16-bit count in Bind.
const maxParameters = 65535

// statement is one translated SQL statement.
type statement struct {
	class     class
	sql       string   // SQLite text
	tag       string   // command tag without the count
	name      string   // savepoint, or parameter of SET and SHOW
	value     string   // value of SET
	local     bool     // SET LOCAL
	params    []uint32 // type of each parameter, 0 when unknown
	readOnly  bool     // BEGIN READ ONLY
	snapshot  bool     // BEGIN with REPEATABLE READ or SERIALIZABLE
	schema    bool     // changes the schema
	counts    bool     // the tag ends with a row count
	returning bool     // INSERT, UPDATE or DELETE with RETURNING
	function  *groupFunction
	arguments []string // of function
	source    string   // text that tokens point into
	tokens    []token
}

// parseStatements translates SQL text, which may hold several statements.
func parseStatements(sql string) ([]*statement, error) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, err
	}
	var list []*statement
	for len(tokens) > 0 {
		n := endOfStatement(tokens)
		if n > 0 {
			st, err := newStatement(sql, tokens[:n])
			if err != nil {
				return nil, err
			}
			list = append(list, st)
		}
		tokens = tokens[min(n+1, len(tokens)):]
	}
	return list, nil
}

// endOfStatement returns the number of tokens before the first semicolon that
// ends a statement; those in the body of a trigger do not.
func endOfStatement(tokens []token) int {
	trigger := tokens[0].is("CREATE") && slices.ContainsFunc(tokens[:min(4, len(tokens))], func(t token) bool { return t.is("TRIGGER") })
	for i, t := range tokens {
		if t.is(";") && (!trigger || (i > 0 && tokens[i-1].is("END"))) {
			return i
		}
	}
	return len(tokens)
}

func newStatement(sql string, tokens []token) (*statement, error) {
	s := &statement{tag: tokens[0].text}
	switch first := tokens[0]; {
	case first.is("SELECT") && s.classifyGroup(tokens):
		return s, nil
	case first.is("SELECT"), first.is("VALUES"), first.is("EXPLAIN"):
		s.class, s.tag = classRead, "SELECT"
		s.counts = true
	case first.is("TABLE"):
		s.class, s.tag = classRead, "SELECT"
		s.counts = true
	case first.is("WITH"):
		s.classifyWith(tokens)
	case first.is("INSERT"), first.is("UPDATE"), first.is("DELETE"), first.is("REPLACE"):
		s.class = classWrite
		s.counts = true
	case first.is("CREATE") && len(tokens) > 1 && (tokens[1].is("TEMP") || tokens[1].is("TEMPORARY")):
		return nil, refuse(stateFeatureNotSupported, "temporary objects are not supported: replicas would lack them after a restart")
	case first.is("CREATE"), first.is("DROP"), first.is("ALTER"):
		s.class = classWrite
		s.schema = true
		s.tag = schemaTag(tokens)
	case first.is("REINDEX"), first.is("ANALYZE"):
		s.class = classWrite
	default:
		return s, s.classifyControl(tokens)
	}
	s.returning = slices.ContainsFunc(tokens, func(t token) bool { return t.is("RETURNING") })
	return s, s.translate(sql, tokens)
}

// classifyWith finds the statement that a common table expression belongs to.
func (s *statement) classifyWith(tokens []token) {
	s.class, s.tag = classRead, "SELECT"
	s.counts = true
	for _, t := range tokens {
		if t.is("INSERT") || t.is("UPDATE") || t.is("DELETE") {
			s.class, s.tag = classWrite, t.text
			return
		}
	}
}

func schemaTag(tokens []token) string {
	for _, t := range tokens[1:] {
		switch t.text {
		case "TABLE", "INDEX", "VIEW", "TRIGGER":
			return tokens[0].text + " " + t.text
		}
	}
	return tokens[0].text
}

// classifyControl classifies transaction control and settings.
func (s *statement) classifyControl(tokens []token) error {
	has := func(text string) bool {
		return slices.ContainsFunc(tokens, func(t token) bool { return t.is(text) })
	}
	switch tokens[0].text {
	case "BEGIN", "START":
		s.class, s.tag = classBegin, "BEGIN"
		if tokens[0].is("START") {
			s.tag = "START TRANSACTION"
		}
		s.readOnly = has("ONLY")
		s.snapshot = has("REPEATABLE") || has("SERIALIZABLE")
	case "COMMIT", "END":
		s.class, s.tag = classCommit, "COMMIT"
	case "ROLLBACK", "ABORT":
		s.class, s.tag = classRollback, "ROLLBACK"
		if has("TO") {
			s.class = classRollbackTo
		}
	case "SAVEPOINT":
		s.class = classSavepoint
	case "RELEASE":
		s.class = classRelease
	case "SET", "RESET":
		s.class = classSet
		s.readSetting(tokens)
	case "SHOW":
		s.class = classShow
	case "DISCARD", "DEALLOCATE":
		s.class = classDiscard
	default:
		return refuse(stateSyntax, "syntax error at or near %q", tokens[0].text)
	}
	if s.name == "" {
		s.name = lastName(tokens)
	}
	return nil
}

// readSetting reads SET [SESSION|LOCAL] name {=|TO} value.
func (s *statement) readSetting(tokens []token) {
	rest := tokens[1:]
	for len(rest) > 0 && (rest[0].is("SESSION") || rest[0].is("LOCAL")) {
		s.local = rest[0].is("LOCAL")
		rest = rest[1:]
	}
	var name strings.Builder
	for len(rest) > 0 && !rest[0].is("=") && !rest[0].is("TO") {
		name.WriteString(strings.ToLower(rest[0].text))
		rest = rest[1:]
	}
	s.name = name.String()
	if len(rest) > 1 {
		s.value = strings.Trim(rest[1].text, "'\"")
	}
}

func lastName(tokens []token) string {
	return strings.Trim(strings.ToLower(tokens[len(tokens)-1].text), `"`)
}

// translator writes the SQLite text of a statement.
type translator struct {
	s      *statement
	sql    string
	tokens []token
	out    strings.Builder
	copied int // offset in sql up to which text is written or dropped
}

func (s *statement) translate(sql string, tokens []token) error {
	t := &translator{s: s, sql: sql, tokens: tokens, copied: tokens[0].start}
	if tokens[0].is("TABLE") {
		t.replace(tokens[0], "SELECT * FROM")
	}
	for i := 0; i < len(tokens); {
		n, err := t.step(i)
		if err != nil {
			return err
		}
		i += n
	}
	t.copyTo(tokens[len(tokens)-1].end)
	s.sql = t.out.String()
	s.source, s.tokens = sql, tokens
	return nil
}

func (t *translator) copyTo(end int) {
	if end > t.copied {
		t.out.WriteString(t.sql[t.copied:end])
		t.copied = end
	}
}

func (t *translator) replace(tok token, text string) {
	t.copyTo(tok.start)
	t.out.WriteString(text)
	t.copied = tok.end
}

func (t *translator) drop(from, to token) {
	t.copyTo(from.start)
	t.copied = to.end
}

// at returns token i, or an empty token after the end.
func (t *translator) at(i int) token {
	if i < 0 || i >= len(t.tokens) {
		return token{kind: tokenOther}
	}
	return t.tokens[i]
}

// step translates the construct at token i and returns its number of tokens.
func (t *translator) step(i int) (int, error) {
	switch tok := t.tokens[i]; {
	case tok.kind == tokenParameter:
		return 1, t.parameter(tok)
	case tok.is("::"):
		return t.cast(i), nil
	case tok.is("NOW") && t.at(i+1).is("(") && t.at(i+2).is(")") && !t.s.schema:
		t.replace(tok, ":"+nowName)
		t.drop(t.at(i+1), t.at(i+2))
		return 3, nil
	case tok.is("CURRENT_TIMESTAMP") && !t.s.schema:
		t.replace(tok, ":"+nowName)
	case tok.is("ILIKE"):
		t.replace(tok, "LIKE")
	case tok.is("FOR") && (t.at(i+1).is("UPDATE") || t.at(i+1).is("SHARE")) && t.s.tag == "SELECT":
		t.s.class = classWrite
		t.drop(tok, t.tokens[len(t.tokens)-1])
		return len(t.tokens) - i, nil
	}
	return 1, nil
}

func (t *translator) parameter(tok token) error {
	n, err := strconv.Atoi(tok.text[1:])
	if err != nil || n < 1 || n > maxParameters {
		return refuse(stateUndefinedParameter, "there is no parameter %s", tok.text)
	}
	for len(t.s.params) < n {
		t.s.params = append(t.s.params, 0)
	}
	t.replace(tok, "?"+tok.text[1:])
	return nil
}

// cast drops a cast. The type of a cast parameter is kept.
func (t *translator) cast(i int) int {
	n := 2
	name := t.at(i + 1)
	if t.at(i+n).is("PRECISION") || t.at(i+n).is("VARYING") {
		n++
	}
	for _, pair := range [][2]string{{"(", ")"}, {"[", "]"}} {
		if !t.at(i + n).is(pair[0]) {
			continue
		}
		for !t.at(i+n).is(pair[1]) && i+n < len(t.tokens) {
			n++
		}
		n++
	}
	t.drop(t.tokens[i], t.tokens[min(i+n, len(t.tokens))-1])
	if prev := t.at(i - 1); prev.kind == tokenParameter {
		p, _ := strconv.Atoi(prev.text[1:]) // parameter has checked it
		t.s.params[p-1] = oidOfCast(name.text)
	}
	return n
}

func oidOfCast(name string) uint32 {
	switch name {
	case "INT2", "SMALLINT":
		return pgtype.Int2OID
	case "INT", "INT4", "INTEGER":
		return pgtype.Int4OID
	case "DATE":
		return pgtype.DateOID
	case "UUID":
		return pgtype.UUIDOID
	case "JSON":
		return pgtype.JSONOID
	}
	return oidOf(name)
}

// isSchemaChange reports whether a translated text changes the schema.
func isSchemaChange(sql string) bool {
	word, _, _ := strings.Cut(sql, " ")
	switch strings.ToUpper(word) {
	case "CREATE", "DROP", "ALTER":
		return true
	}
	return false
}
