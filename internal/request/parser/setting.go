package parser

import (
	"strings"

	"parsleyscale/internal/request/exchanger"
)

// parseShow returns the Statement of SHOW. SHOW of a parameter that is not a proxy parameter is a forwarded read.
func parseShow(st Statement, tokens []token) Statement {
	st.Class = exchanger.Read
	name, rest := parameterName(tokens[1:])
	if strings.HasPrefix(name, proxyParameterPrefix) && len(rest) == 0 {
		st.Action, st.Name = Show, name
	}
	return st
}

// parseReset returns the Statement of RESET name or RESET ALL.
func parseReset(st Statement, tokens []token) Statement {
	name, rest := parameterName(tokens[1:])
	if name != "" && len(rest) == 0 {
		st.Action, st.Name, st.Class = Reset, name, exchanger.Read
	}
	return st
}

// parseSet returns the Statement of SET [SESSION | LOCAL] name { = | TO } value, SET TIME ZONE value,
// SET TRANSACTION or SET CONSTRAINTS.
func parseSet(st Statement, tokens []token) Statement {
	st.Action, st.Class = Set, exchanger.Read
	rest := tokens[1:]
	if len(rest) > 1 && rest[0].kind == word {
		switch rest[0].text {
		case "transaction", "constraints":
			st.Local, st.Name = true, rest[0].text
			return st
		case "session", "local":
			// Without a name after it, the word is itself the name of the parameter.
			if rest[1].kind == word || rest[1].kind == quotedIdentifier {
				st.Local = rest[0].text == "local"
				rest = rest[1:]
			}
		}
	}
	st.Name, rest = parameterName(rest)
	if st.Name == "time" && len(rest) > 0 && rest[0].text == "zone" {
		st.Name, rest = "timezone", rest[1:]
	} else if len(rest) > 0 && (rest[0].text == "=" || rest[0].text == "to") {
		rest = rest[1:]
	}
	st.Default = len(rest) == 1 && rest[0].kind == word && rest[0].text == "default"
	st.Value = parameterValue(rest)
	return st
}

// parameterName returns the parameter name at the start of the tokens, which may contain dots, and the tokens after it.
// The name is in lower case, because PostgreSQL compares parameter names without regard to case.
func parameterName(tokens []token) (string, []token) {
	var b strings.Builder
	for i, t := range tokens {
		isName := t.kind == word || t.kind == quotedIdentifier
		isDot := t.kind == symbol && t.text == "."
		if i%2 == 0 && !isName || i%2 == 1 && !isDot {
			return strings.ToLower(b.String()), tokens[i:]
		}
		b.WriteString(t.text)
	}
	return strings.ToLower(b.String()), nil
}

// parameterValue returns the value that the tokens form. The elements of a list are separated by ", ".
func parameterValue(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.text)
		if t.kind == symbol && t.text == "," {
			b.WriteByte(' ')
		}
	}
	return b.String()
}
