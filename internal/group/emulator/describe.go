package emulator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
	"modernc.org/sqlite"
)

// column is a result column.
type column struct {
	name string
	oid  uint32
}

// columnInformer is the part of the SQLite driver that describes a statement without running it.
type columnInformer interface {
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}

// returns reports whether the statement has result columns.
func (s *statement) returns() bool {
	switch s.class {
	case classRead, classShow, classGroup:
		return true
	case classWrite:
		return s.tag == "SELECT" || s.returning
	}
	return false
}

// describe returns the result columns of a statement.
func (x *session) describe(s *statement) ([]column, error) {
	if s.class == classShow || s.class == classGroup {
		return []column{{s.name, pgtype.TextOID}}, nil
	}
	h, err := x.currentHandle()
	if err != nil {
		return nil, err
	}
	return h.describe(s)
}

// describeKey identifies what describe depends on: the text with its casts,
// and the types that the client gave to parameters.
func (s *statement) describeKey() string {
	text := s.source[s.tokens[0].start:s.tokens[len(s.tokens)-1].end]
	if !slices.ContainsFunc(s.params, func(oid uint32) bool { return oid != 0 }) {
		return text
	}
	return fmt.Sprint(text, s.params)
}

// describe caches the columns with the schema that they belong to.
func (h *handle) describe(s *statement) ([]column, error) {
	h.checkSchema()
	key := s.describeKey()
	if c, ok := h.columns[key]; ok {
		return c, nil
	}
	columns, err := h.columnInfo(s.sql)
	if err != nil {
		return nil, err
	}
	if slices.ContainsFunc(columns, func(c column) bool { return c.oid == 0 }) {
		h.inferTypes(s, columns)
	}
	for i, c := range columns {
		columns[i].name = columnName(c.name)
		if c.oid == 0 {
			columns[i].oid = pgtype.TextOID
		}
	}
	if len(h.columns) >= maxCachedStatements {
		clear(h.columns)
	}
	h.columns[key] = columns
	return columns, nil
}

// columnInfo returns the columns of a SQLite text with their declared types.
func (h *handle) columnInfo(text string) ([]column, error) {
	info, err := h.conn.(columnInformer).ColumnInfo(text)
	if err != nil {
		return nil, err
	}
	columns := make([]column, len(info))
	for i, c := range info {
		columns[i] = column{c.Name, oidOf(c.DeclType)}
	}
	return columns, nil
}

// inferTypes sets the types of columns that are expressions. A star stands for
// several columns, so the items after it are matched from the end.
func (h *handle) inferTypes(s *statement, columns []column) {
	f := inference{lookup: h.lookupColumns, params: s.params, sql: s.source}
	list, from := f.selectList(s.tokens)
	items := split(list)
	for i := range items {
		at := i
		if slices.ContainsFunc(items[:i], isStar) {
			at = len(columns) - len(items) + i
		}
		if at < 0 || at >= len(columns) || columns[at].oid != 0 || isStar(items[i]) {
			continue
		}
		columns[at].oid = f.expression(stripAlias(items[i]), from)
	}
}

func isStar(item []token) bool { return len(item) > 0 && item[len(item)-1].is("*") }

// lookupColumns returns the columns of a query in the client's dialect.
func (h *handle) lookupColumns(query string) []column {
	list, err := parseStatements(query)
	if err != nil || len(list) != 1 {
		return nil
	}
	columns, err := h.columnInfo(list[0].sql)
	if err != nil {
		return nil
	}
	return columns
}

// columnName returns the name that PostgreSQL gives to a column: that of the
// function for a call, ?column? for another expression.
func columnName(name string) string {
	if name == ":"+nowName {
		return nowName
	}
	word, _, call := strings.Cut(name, "(")
	switch {
	case call && word != "" && strings.IndexFunc(word, func(r rune) bool { return r >= 0x80 || !isWordByte(byte(r)) }) < 0:
		return strings.ToLower(word)
	case call, strings.ContainsAny(name, "?+'|:"), name != "" && isDigit(name[0]):
		return "?column?"
	}
	return name
}

// parameterName returns the name of parameter i, counted from 0.
func parameterName(i int) string { return "$" + strconv.Itoa(i+1) }

// parameterType returns the type that a parameter of text src is decoded as.
// Where the client gives no type, the column next to the parameter decides, but only for
// forms that differ between types: those of booleans and bytea.
func (x *session) parameterType(s *statement, i int, src []byte) uint32 {
	if s.params[i] != 0 || !isAmbiguous(src) {
		return s.params[i]
	}
	h, err := x.currentHandle()
	if err != nil {
		return 0
	}
	f := inference{lookup: h.lookupColumns, sql: s.source}
	for _, oid := range f.neighbours(s.tokens, parameterName(i)) {
		if oid == pgtype.BoolOID || oid == pgtype.ByteaOID {
			return oid
		}
	}
	return 0
}

func isAmbiguous(src []byte) bool {
	switch s := string(src); s {
	case "t", "f", "true", "false":
		return true
	default:
		return strings.HasPrefix(s, `\x`)
	}
}

// neighbours returns the types of the columns that a parameter is compared with or assigned to.
func (f inference) neighbours(tokens []token, name string) []uint32 {
	var oids []uint32
	from := f.target(tokens)
	for i, t := range tokens {
		if t.kind != tokenParameter || t.text != name {
			continue
		}
		if i > 1 && tokens[i-1].is("=") {
			oids = append(oids, f.column(tokens[i-2:i-1], from))
		}
		if c := insertColumn(tokens, i); c != nil {
			oids = append(oids, f.column(c, from))
		} else if n := valuePosition(tokens, i); n >= 0 {
			oids = append(oids, f.tableColumn(from, n))
		}
	}
	return oids
}

// tableColumn returns the type of column n of a table.
func (f inference) tableColumn(from string, n int) uint32 {
	if c := f.lookup("SELECT * " + from); n < len(c) {
		return c[n].oid
	}
	return 0
}

// valuePosition returns the position of token i in the VALUES list of an INSERT, -1 when it is not in one.
func valuePosition(tokens []token, i int) int {
	if !tokens[0].is("INSERT") {
		return -1
	}
	n, depth := 0, 0
	for j := i - 1; j > 0; j-- {
		depth -= nesting(tokens[j])
		switch {
		case depth == 0 && tokens[j].is(","):
			n++
		case depth < 0 && (tokens[j-1].is("VALUES") || tokens[j-1].is(",")):
			return n
		case depth < 0:
			return -1
		}
	}
	return -1
}

// insertColumn returns the name in the column list of an INSERT at the position of token i.
func insertColumn(tokens []token, i int) []token {
	n := valuePosition(tokens, i)
	open := slices.IndexFunc(tokens, func(t token) bool { return t.is("(") || t.is("VALUES") })
	if n < 0 || open < 0 || tokens[open].is("VALUES") {
		return nil
	}
	if names := split(inner(tokens[open:])); n < len(names) {
		return names[n]
	}
	return nil
}
