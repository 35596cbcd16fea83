package emulator

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// typeOfFunction gives the result type of SQLite functions.
var typeOfFunction = map[string]uint32{
	"COUNT": pgtype.Int8OID, "LENGTH": pgtype.Int8OID, "CHANGES": pgtype.Int8OID, "INSTR": pgtype.Int8OID,
	"ROW_NUMBER": pgtype.Int8OID, "RANK": pgtype.Int8OID, "DENSE_RANK": pgtype.Int8OID, "SIGN": pgtype.Int8OID,
	"AVG": pgtype.Float8OID, "TOTAL": pgtype.Float8OID, "ROUND": pgtype.Float8OID, "POWER": pgtype.Float8OID,
	"SQRT": pgtype.Float8OID, "EXISTS": pgtype.BoolOID, "NOW": pgtype.TimestamptzOID,
}

// typeOfArgument lists the functions whose result has the type of an argument, and which one.
var typeOfArgument = map[string]int{
	"SUM": 0, "MAX": 0, "MIN": 0, "ABS": 0, "COALESCE": 0, "IFNULL": 0, "NULLIF": 0,
	"LAG": 0, "LEAD": 0, "FIRST_VALUE": 0, "LAST_VALUE": 0, "IIF": 1,
}

// booleanOperators make an expression a boolean.
var booleanOperators = []string{"=", "<", ">", "!", "AND", "OR", "NOT", "IS", "IN", "LIKE", "BETWEEN", "EXISTS"}

// arithmeticOperators make an expression a number.
var arithmeticOperators = []string{"+", "-", "*", "/", "%"}

// inference derives the types of expressions, for which SQLite declares none.
// It covers what callers commonly select; everything else is text.
type inference struct {
	lookup func(query string) []column // columns of a query
	params []uint32
	sql    string
}

// list returns the types of the items in a select list; one item without a type has 0.
func (f inference) list(tokens []token, from string) []uint32 {
	var oids []uint32
	for _, item := range split(tokens) {
		oids = append(oids, f.expression(stripAlias(item), from))
	}
	return oids
}

// selectList returns the select list of a query and the text of its FROM clause and what follows.
func (f inference) selectList(tokens []token) (list []token, from string) {
	start := -1
	depth := 0
	for i, t := range tokens {
		depth += nesting(t)
		if depth > 0 {
			continue
		}
		switch {
		case t.is("SELECT") && start < 0, t.is("RETURNING"):
			start = i + 1
		case t.is("FROM") && start >= 0 && i >= start:
			return dropDistinct(tokens[start:i]), f.sql[t.start:tokens[len(tokens)-1].end]
		}
	}
	if start < 0 {
		return nil, ""
	}
	return dropDistinct(tokens[start:]), f.target(tokens)
}

// target returns a FROM clause for the table that a statement with RETURNING changes.
func (f inference) target(tokens []token) string {
	for i, t := range tokens[:max(len(tokens)-1, 0)] {
		if t.is("INTO") || t.is("UPDATE") || t.is("FROM") {
			return "FROM " + f.sql[tokens[i+1].start:tokens[i+1].end]
		}
	}
	return ""
}

func dropDistinct(tokens []token) []token {
	if len(tokens) > 0 && (tokens[0].is("DISTINCT") || tokens[0].is("ALL")) {
		return tokens[1:]
	}
	return tokens
}

// expression returns the type of an expression, 0 when it is unknown.
func (f inference) expression(e []token, from string) uint32 {
	if len(e) == 0 {
		return 0
	}
	first := e[0]
	switch {
	case first.is("CASE"):
		return f.expression(caseResult(e), from)
	case hasOperator(e, booleanOperators):
		return pgtype.BoolOID
	case hasPair(e, "|"):
		return pgtype.TextOID
	case len(e) > 1 && hasOperator(e, arithmeticOperators):
		return f.arithmetic(e, from)
	case castName(e) != "":
		return resultType(oidOfCast(castName(e)))
	case first.is("("):
		return f.parenthesis(e, from)
	case len(e) > 2 && first.kind == tokenWord && e[1].is("("):
		return f.function(first.text, inner(e[1:]), from)
	case len(e) == 1:
		return f.single(first, from)
	}
	return f.column(e, from)
}

func (f inference) single(t token, from string) uint32 {
	switch t.kind {
	case tokenString:
		return pgtype.TextOID
	case tokenNumber:
		if strings.ContainsAny(t.text, ".eE") && !strings.HasPrefix(t.text, "0x") {
			return pgtype.Float8OID
		}
		return pgtype.Int8OID
	case tokenParameter:
		return f.parameter(t)
	}
	switch t.text {
	case "TRUE", "FALSE":
		return pgtype.BoolOID
	case "CURRENT_TIMESTAMP":
		return pgtype.TimestamptzOID
	case "NULL":
		return 0
	}
	return f.column([]token{t}, from)
}

func (f inference) parameter(t token) uint32 {
	for i, oid := range f.params {
		if oid != 0 && t.text == parameterName(i) {
			return resultType(oid)
		}
	}
	return 0
}

// resultType returns the type that a value of a parameter's type has in a
// result, where there are fewer types.
func resultType(oid uint32) uint32 {
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.OIDOID:
		return pgtype.Int8OID
	case pgtype.Float4OID, pgtype.NumericOID:
		return pgtype.Float8OID
	case pgtype.BoolOID, pgtype.Int8OID, pgtype.Float8OID, pgtype.ByteaOID, pgtype.TimestamptzOID, pgtype.JSONOID:
		return oid
	}
	return pgtype.TextOID
}

// castName returns the type name of the cast that an expression ends with, "" when it has none.
func castName(e []token) string {
	depth := 0
	for i := len(e) - 1; i > 0; i-- {
		depth += nesting(e[i])
		if depth == 0 && e[i].is("::") && i+1 < len(e) {
			return e[i+1].text
		}
	}
	return ""
}

func (f inference) arithmetic(e []token, from string) uint32 {
	var operand []token
	oid := uint32(pgtype.Int8OID)
	depth := 0
	for _, t := range append(slices.Clone(e), token{kind: tokenOther, text: "+"}) {
		depth += nesting(t)
		if depth > 0 || t.is(")") || !slices.ContainsFunc(arithmeticOperators, t.is) {
			operand = append(operand, t)
			continue
		}
		if f.expression(operand, from) == pgtype.Float8OID {
			oid = pgtype.Float8OID
		}
		operand = nil
	}
	return oid
}

func (f inference) parenthesis(e []token, from string) uint32 {
	in := inner(e)
	if len(in) == 0 || !in[0].is("SELECT") {
		return f.expression(in, from)
	}
	list, from := f.selectList(in)
	if oids := f.list(list, from); len(oids) == 1 {
		return oids[0]
	}
	return 0
}

func (f inference) function(name string, args []token, from string) uint32 {
	if name == "CAST" {
		for i, t := range args {
			if t.is("AS") && i+1 < len(args) {
				return resultType(oidOfCast(args[i+1].text))
			}
		}
	}
	if i, ok := typeOfArgument[name]; ok {
		if list := split(args); i < len(list) {
			return f.expression(list[i], from)
		}
	}
	if oid, ok := typeOfFunction[name]; ok {
		return oid
	}
	return pgtype.TextOID
}

// column looks the declared type of a column up.
func (f inference) column(e []token, from string) uint32 {
	if from == "" || len(e) == 0 {
		return 0
	}
	c := f.lookup("SELECT " + f.sql[e[0].start:e[len(e)-1].end] + " " + from)
	if len(c) != 1 {
		return 0
	}
	return c[0].oid
}

// nesting returns the change of the nesting depth at a token.
func nesting(t token) int {
	switch {
	case t.is("("):
		return 1
	case t.is(")"):
		return -1
	}
	return 0
}

// split splits tokens at the commas outside of parentheses.
func split(tokens []token) [][]token {
	var list [][]token
	depth, start := 0, 0
	for i, t := range tokens {
		depth += nesting(t)
		if depth == 0 && t.is(",") {
			list = append(list, tokens[start:i])
			start = i + 1
		}
	}
	return append(list, tokens[start:])
}

// inner returns the tokens inside the parentheses that e starts with.
func inner(e []token) []token {
	depth := 0
	for i, t := range e {
		depth += nesting(t)
		if depth == 0 {
			return e[1:i]
		}
	}
	return e[1:]
}

// stripAlias drops AS name, or a name after a closing parenthesis.
func stripAlias(e []token) []token {
	n := len(e)
	switch {
	case n > 2 && e[n-2].is("AS"):
		return e[:n-2]
	case n > 2 && e[n-2].is(")") && (e[n-1].kind == tokenWord || e[n-1].kind == tokenQuoted):
		return e[:n-1]
	}
	return e
}

func hasOperator(e []token, operators []string) bool {
	depth := 0
	for _, t := range e {
		depth += nesting(t)
		if depth == 0 && t.kind != tokenQuoted && slices.ContainsFunc(operators, t.is) {
			return true
		}
	}
	return false
}

func hasPair(e []token, text string) bool {
	depth := 0
	for i, t := range e[1:] {
		depth += nesting(e[i])
		if depth == 0 && t.is(text) && e[i].is(text) {
			return true
		}
	}
	return false
}

// caseResult returns the first result of a CASE expression.
func caseResult(e []token) []token {
	start := -1
	for i, t := range e {
		switch {
		case t.is("THEN") && start < 0:
			start = i + 1
		case start >= 0 && (t.is("WHEN") || t.is("ELSE") || t.is("END")):
			return e[start:i]
		}
	}
	return nil
}
