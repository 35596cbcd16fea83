package parser

import (
	"strings"

	"parsleyscale/internal/request/exchanger"
)

// newShow recognises SHOW. Names outside parsleyscale's are forwarded as reads.
func newShow(st Statement, tokens []token) Statement {
	st.Class = exchanger.Read
	name, rest := settingName(tokens[1:])
	if strings.HasPrefix(name, prefix) && len(rest) == 0 {
		st.Action, st.Name = Show, name
	}
	return st
}

// newReset recognises RESET name and RESET ALL.
func newReset(st Statement, tokens []token) Statement {
	name, rest := settingName(tokens[1:])
	if name != "" && len(rest) == 0 {
		st.Action, st.Name, st.Class = Reset, name, exchanger.Read
	}
	return st
}

// newSet recognises SET [SESSION | LOCAL] name { = | TO } value, and the special forms of SET.
func newSet(st Statement, tokens []token) Statement {
	st.Action, st.Class = Set, exchanger.Read
	rest := tokens[1:]
	if len(rest) > 1 && rest[0].sort == word {
		switch rest[0].text {
		case "transaction", "constraints":
			st.Local, st.Name = true, rest[0].text
			return st
		case "session", "local":
			if rest[1].sort == word || rest[1].sort == quotedIdentifier {
				st.Local = rest[0].text == "local"
				rest = rest[1:]
			}
		}
	}
	st.Name, rest = settingName(rest)
	if st.Name == "time" && len(rest) > 0 && rest[0].text == "zone" {
		st.Name, rest = "timezone", rest[1:]
	} else if len(rest) > 0 && (rest[0].text == "=" || rest[0].text == "to") {
		rest = rest[1:]
	}
	st.Default = len(rest) == 1 && rest[0].sort == word && rest[0].text == "default"
	st.Value = settingValue(rest)
	return st
}

// settingName reads a name with dots and returns it in lower case, as PostgreSQL compares such names.
func settingName(tokens []token) (string, []token) {
	var b strings.Builder
	for i, t := range tokens {
		isName := t.sort == word || t.sort == quotedIdentifier
		isDot := t.sort == symbol && t.text == "."
		if i%2 == 0 && !isName || i%2 == 1 && !isDot {
			return strings.ToLower(b.String()), tokens[i:]
		}
		b.WriteString(t.text)
	}
	return strings.ToLower(b.String()), nil
}

// settingValue joins the elements of a value; a list is joined with ", ".
func settingValue(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.text)
		if t.sort == symbol && t.text == "," {
			b.WriteByte(' ')
		}
	}
	return b.String()
}
