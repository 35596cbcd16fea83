package parser

import (
	"strings"

	"parsleyscale/internal/request/exchanger"
)

// Action tells what the listener does with a statement.
type Action string

// The actions.
const (
	Forward    Action = "forward"    // a Runner runs it
	Set        Action = "set"        // SET name = value
	Show       Action = "show"       // SHOW of a parsleyscale parameter
	Reset      Action = "reset"      // RESET name
	Deallocate Action = "deallocate" // DEALLOCATE or DISCARD; Name is empty for all statements
	Begin      Action = "begin"      // BEGIN or START TRANSACTION
	End        Action = "end"        // COMMIT, END, ROLLBACK or ABORT of the whole transaction
	Refuse     Action = "refuse"     // it would leave state on a shared backend connection, or needs COPY
)

// prefix is the first part of the names of parsleyscale's own parameters.
const prefix = "parsleyscale."

// Statement is one statement of SQL text.
type Statement struct {
	Text    string // source text without the semicolon
	Start   int    // where Text begins in the source text
	Class   exchanger.Class
	Action  Action
	Keyword string // first keyword in lower case
	Name    string // parameter or prepared statement
	Value   string // of SET
	Default bool   // SET name TO DEFAULT
	Local   bool   // SET LOCAL or SET TRANSACTION, valid until the transaction ends
}

// IsOwn reports whether the statement sets, shows or resets a parsleyscale parameter.
func (s Statement) IsOwn() bool { return strings.HasPrefix(s.Name, prefix) }

// Parse splits SQL text into its statements and classifies each. Text without a statement gives an empty list.
func Parse(sql string) []Statement {
	var list []Statement
	s := scanner{src: sql}
	var tokens []token
	for {
		t := s.next()
		if t.sort != endOfText && !(t.sort == symbol && t.text == ";") {
			tokens = append(tokens, t)
			continue
		}
		if len(tokens) > 0 {
			list = append(list, newStatement(sql, tokens))
		}
		if t.sort == endOfText {
			return list
		}
		tokens = tokens[:0]
	}
}

// ClassOf returns the strictest class of a list of statements.
func ClassOf(list []Statement) exchanger.Class {
	c := exchanger.Read
	for _, s := range list {
		c = Strictest(c, s.Class)
	}
	return c
}

// Strictest returns the class of a unit that holds work of both classes. A
// write together with a read-only transaction gives a transaction, because
// the unit may then stay open and may change data.
func Strictest(a, b exchanger.Class) exchanger.Class {
	if isTransaction(a) && b == exchanger.Write || isTransaction(b) && a == exchanger.Write {
		return exchanger.Transaction
	}
	if strictness(b) > strictness(a) {
		return b
	}
	return a
}

func isTransaction(c exchanger.Class) bool {
	return c == exchanger.Transaction || c == exchanger.ReadOnlyTransaction
}

func strictness(c exchanger.Class) int {
	switch c {
	case exchanger.Read:
		return 0
	case exchanger.ReadOnlyTransaction:
		return 1
	case exchanger.Write:
		return 2
	}
	return 3
}

func newStatement(sql string, tokens []token) Statement {
	last := tokens[len(tokens)-1]
	st := Statement{
		Text:   sql[tokens[0].start:last.end],
		Start:  tokens[0].start,
		Class:  exchanger.Write,
		Action: Forward,
	}
	w := words(tokens)
	if len(w) == 0 || last.open {
		return st
	}
	st.Keyword = w[0]
	switch w[0] {
	case "select", "values", "table", "with", "explain":
		st.Class = readClass(w)
		st.Action = actionOfQuery(w)
	case "show":
		return newShow(st, tokens)
	case "set":
		return newSet(st, tokens)
	case "reset":
		return newReset(st, tokens)
	case "begin", "start":
		st.Class = transactionClass(w)
		st.Action = Begin
	default:
		st.Action = actionOf(w)
		if st.Action == Deallocate {
			st.Name = deallocated(tokens)
			st.Class = exchanger.Read
		}
	}
	return st
}

// words returns the keywords and unquoted identifiers in order, after opening parentheses at the start.
func words(tokens []token) []string {
	for len(tokens) > 0 && tokens[0].sort == symbol && tokens[0].text == "(" {
		tokens = tokens[1:]
	}
	if len(tokens) == 0 || tokens[0].sort != word {
		return nil
	}
	w := make([]string, 0, len(tokens))
	for _, t := range tokens {
		if t.sort == word {
			w = append(w, t.text)
		}
	}
	return w
}

// readClass returns Read when no word of a query changes data or locks rows.
func readClass(w []string) exchanger.Class {
	for i, text := range w {
		switch text {
		case "insert", "update", "delete", "merge", "truncate", "into", "nextval", "setval":
			return exchanger.Write
		case "create", "refresh", "execute", "declare", "call":
			if w[0] == "explain" {
				return exchanger.Write
			}
		case "for":
			if isRowLock(w[i+1:]) {
				return exchanger.Write
			}
		}
	}
	return exchanger.Read
}

func isRowLock(w []string) bool {
	if len(w) > 0 && (w[0] == "share" || w[0] == "no") {
		return true
	}
	return len(w) > 1 && w[0] == "key" && w[1] == "share"
}

func transactionClass(w []string) exchanger.Class {
	class := exchanger.Transaction
	for i := 1; i < len(w); i++ {
		switch {
		case w[i-1] == "read" && w[i] == "write":
			return exchanger.Transaction
		case w[i-1] == "read" && w[i] == "only":
			class = exchanger.ReadOnlyTransaction
		}
	}
	return class
}

// actionOfQuery refuses EXPLAIN EXECUTE and SELECT INTO a temporary table.
func actionOfQuery(w []string) Action {
	for i := 1; i < len(w); i++ {
		isTemporary := w[i] == "temp" || w[i] == "temporary"
		if isTemporary && (w[i-1] == "into" || w[i-1] == "create" || w[i-1] == "local") {
			return Refuse
		}
		if w[0] == "explain" && w[i] == "execute" {
			return Refuse
		}
	}
	return Forward
}

func actionOf(w []string) Action {
	second := ""
	if len(w) > 1 {
		second = w[1]
	}
	switch w[0] {
	case "deallocate", "discard":
		return Deallocate
	case "copy", "listen", "unlisten", "prepare", "execute", "load":
		return Refuse
	case "declare":
		return refuseIf(holds(w, "hold") && !holds(w, "without"))
	case "create":
		if second == "local" || second == "global" {
			second = w[min(2, len(w)-1)]
		}
		return refuseIf(second == "temp" || second == "temporary")
	case "commit", "end", "abort", "rollback":
		if holds(w, "prepared") || chains(w) {
			return Refuse
		}
		if holds(w, "to") {
			return Forward
		}
		return End
	}
	return Forward
}

// chains reports whether a COMMIT or ROLLBACK opens the next transaction at
// once. A unit ends with its transaction, so the next one would have no unit.
func chains(w []string) bool { return holds(w, "chain") && !holds(w, "no") }

func refuseIf(b bool) Action {
	if b {
		return Refuse
	}
	return Forward
}

func holds(w []string, text string) bool {
	for _, s := range w {
		if s == text {
			return true
		}
	}
	return false
}

// deallocated returns the name in DEALLOCATE [PREPARE] name, or "" for all and for DISCARD.
func deallocated(tokens []token) string {
	last := tokens[len(tokens)-1]
	if tokens[0].text == "discard" || last.sort == word && last.text == "all" {
		return ""
	}
	return last.text
}
