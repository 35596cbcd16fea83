package parser

import (
	"strings"

	"parsleyscale/internal/request/exchanger"
)

// Action is what the listener does with a statement.
type Action string

// The actions.
const (
	Forward    Action = "forward"    // it is passed to a Runner
	Set        Action = "set"        // SET name = value
	Show       Action = "show"       // SHOW of a parsleyscale parameter
	Reset      Action = "reset"      // RESET name
	Deallocate Action = "deallocate" // DEALLOCATE or DISCARD; Name is empty if it applies to all prepared statements
	Begin      Action = "begin"      // BEGIN or START TRANSACTION
	End        Action = "end"        // COMMIT, END, ROLLBACK or ABORT of the whole transaction
	Refuse     Action = "refuse"     // it is rejected, because it leaves state on a shared backend connection or needs COPY
)

// proxyParameterPrefix starts the names of the proxy parameters, which parsleyscale itself defines.
const proxyParameterPrefix = "parsleyscale."

// Statement is one statement of SQL text.
type Statement struct {
	Text    string // source text without the semicolon
	Start   int    // byte offset of Text in the source text
	Class   exchanger.Class
	Action  Action
	Keyword string // first keyword in lower case
	Name    string // name of the parameter or of the prepared statement
	Value   string // new value of the parameter in SET
	Default bool   // whether the value in SET is the keyword DEFAULT
	Local   bool   // whether it is SET LOCAL, SET TRANSACTION or SET CONSTRAINTS, valid until the transaction ends
}

// IsProxyParameter reports whether the statement sets, shows or resets a proxy parameter.
func (s Statement) IsProxyParameter() bool { return strings.HasPrefix(s.Name, proxyParameterPrefix) }

// Parse splits SQL text into its statements and classifies each of them. It returns nil if there is no statement.
func Parse(sql string) []Statement {
	var statements []Statement
	s := scanner{src: sql}
	var tokens []token
	for {
		t := s.next()
		if t.kind != endOfInput && !(t.kind == symbol && t.text == ";") {
			tokens = append(tokens, t)
			continue
		}
		if len(tokens) > 0 {
			statements = append(statements, newStatement(sql, tokens))
		}
		if t.kind == endOfInput {
			return statements
		}
		tokens = tokens[:0]
	}
}

// ClassOf returns the class of a unit that consists of the given statements. Without statements it returns Read.
func ClassOf(statements []Statement) exchanger.Class {
	c := exchanger.Read
	for _, s := range statements {
		c = CombineClasses(c, s.Class)
	}
	return c
}

// CombineClasses returns the class of a unit that contains work of both classes. A
// write together with a read-only transaction gives Transaction, because the
// unit may then both stay open and change data.
func CombineClasses(a, b exchanger.Class) exchanger.Class {
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

// strictness returns the rank of a class; a higher rank allows a unit to do more.
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

// newStatement classifies the statement that consists of the given tokens. If it cannot tell what the statement does,
// it returns a write that is forwarded.
func newStatement(sql string, tokens []token) Statement {
	last := tokens[len(tokens)-1]
	st := Statement{
		Text:   sql[tokens[0].start:last.end],
		Start:  tokens[0].start,
		Class:  exchanger.Write,
		Action: Forward,
	}
	words := unquotedWords(tokens)
	if len(words) == 0 || last.isUnterminated {
		return st
	}
	st.Keyword = words[0]
	switch words[0] {
	case "select", "values", "table", "with", "explain":
		st.Class = queryClass(words)
		st.Action = queryAction(words)
	case "show":
		return parseShow(st, tokens)
	case "set":
		return parseSet(st, tokens)
	case "reset":
		return parseReset(st, tokens)
	case "begin", "start":
		st.Class = beginClass(words)
		st.Action = Begin
	default:
		st.Action = commandAction(words)
		if st.Action == Deallocate {
			st.Name = deallocateName(tokens)
			st.Class = exchanger.Read
		}
	}
	return st
}

// unquotedWords returns the keywords and unquoted identifiers of a statement in order. It returns nil if the
// statement does not start with one, apart from opening parentheses.
func unquotedWords(tokens []token) []string {
	for len(tokens) > 0 && tokens[0].kind == symbol && tokens[0].text == "(" {
		tokens = tokens[1:]
	}
	if len(tokens) == 0 || tokens[0].kind != word {
		return nil
	}
	words := make([]string, 0, len(tokens))
	for _, t := range tokens {
		if t.kind == word {
			words = append(words, t.text)
		}
	}
	return words
}

// queryClass returns Write if a word of the query changes data or locks rows, and otherwise Read.
func queryClass(words []string) exchanger.Class {
	for i, text := range words {
		switch text {
		case "insert", "update", "delete", "merge", "truncate", "into", "nextval", "setval":
			return exchanger.Write
		case "create", "refresh", "execute", "declare", "call":
			if words[0] == "explain" {
				return exchanger.Write
			}
		case "for":
			if isRowLock(words[i+1:]) {
				return exchanger.Write
			}
		}
	}
	return exchanger.Read
}

// isRowLock reports whether the words after FOR start SHARE, KEY SHARE or NO KEY UPDATE. FOR UPDATE needs no check
// here, because queryClass takes any UPDATE for a write.
func isRowLock(words []string) bool {
	if len(words) > 0 && (words[0] == "share" || words[0] == "no") {
		return true
	}
	return len(words) > 1 && words[0] == "key" && words[1] == "share"
}

// beginClass returns the class of the transaction that BEGIN or START TRANSACTION opens. READ WRITE takes precedence
// over READ ONLY.
func beginClass(words []string) exchanger.Class {
	class := exchanger.Transaction
	for i := 1; i < len(words); i++ {
		switch {
		case words[i-1] == "read" && words[i] == "write":
			return exchanger.Transaction
		case words[i-1] == "read" && words[i] == "only":
			class = exchanger.ReadOnlyTransaction
		}
	}
	return class
}

// queryAction returns Refuse for EXPLAIN EXECUTE and for queries that create a temporary table, and otherwise Forward.
func queryAction(words []string) Action {
	for i := 1; i < len(words); i++ {
		isTemporary := words[i] == "temp" || words[i] == "temporary"
		if isTemporary && (words[i-1] == "into" || words[i-1] == "create" || words[i-1] == "local") {
			return Refuse
		}
		if words[0] == "explain" && words[i] == "execute" {
			return Refuse
		}
	}
	return Forward
}

// commandAction returns the action for a statement other than a query, SET, SHOW, RESET or BEGIN.
func commandAction(words []string) Action {
	second := ""
	if len(words) > 1 {
		second = words[1]
	}
	switch words[0] {
	case "deallocate", "discard":
		return Deallocate
	case "copy", "listen", "unlisten", "prepare", "execute", "load":
		return Refuse
	case "declare":
		return refuseIf(containsWord(words, "hold") && !containsWord(words, "without"))
	case "create":
		if second == "local" || second == "global" {
			second = words[min(2, len(words)-1)]
		}
		return refuseIf(second == "temp" || second == "temporary")
	case "commit", "end", "abort", "rollback":
		if containsWord(words, "prepared") || isChained(words) {
			return Refuse
		}
		if containsWord(words, "to") { // ROLLBACK TO SAVEPOINT does not end the transaction
			return Forward
		}
		return End
	}
	return Forward
}

// isChained reports whether a COMMIT or ROLLBACK has AND CHAIN, which starts the
// next transaction at once. A unit ends with its transaction, so the next
// transaction would not belong to any unit.
func isChained(words []string) bool {
	return containsWord(words, "chain") && !containsWord(words, "no")
}

func refuseIf(condition bool) Action {
	if condition {
		return Refuse
	}
	return Forward
}

func containsWord(words []string, text string) bool {
	for _, s := range words {
		if s == text {
			return true
		}
	}
	return false
}

// deallocateName returns the name in DEALLOCATE [PREPARE] name, or "" for DEALLOCATE ALL and DISCARD.
func deallocateName(tokens []token) string {
	last := tokens[len(tokens)-1]
	if tokens[0].text == "discard" || last.kind == word && last.text == "all" {
		return ""
	}
	return last.text
}
