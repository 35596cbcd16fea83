package emulator

import (
	"strings"
	"unicode/utf8"
)

// tokenKind is the lexical class of a token.
type tokenKind int

const (
	tokenWord   tokenKind = iota // keyword or plain identifier
	tokenQuoted                  // "identifier"
	tokenString                  // 'text'
	tokenNumber
	tokenParameter // $1
	tokenOther     // operators and punctuation, one character each, but :: is one token
)

// token is a part of a text; comments and white space lie between tokens.
type token struct {
	kind       tokenKind
	text       string // upper case for words
	start, end int
}

func (t token) is(text string) bool { return t.kind != tokenString && t.text == text }

// tokenize splits SQL text. It reports an error for an unterminated quote or comment.
func tokenize(sql string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(sql); {
		next, err := skipBlank(sql, i)
		if err != nil {
			return nil, err
		}
		if next > i {
			i = next
			continue
		}
		t, err := scanToken(sql, i)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
		i = t.end
	}
	return tokens, nil
}

// skipBlank returns the offset after white space or one comment at i.
func skipBlank(sql string, i int) (int, error) {
	switch {
	case strings.IndexByte(" \t\r\n\f\v", sql[i]) >= 0:
		return i + 1, nil
	case strings.HasPrefix(sql[i:], "--"):
		if n := strings.IndexByte(sql[i:], '\n'); n >= 0 {
			return i + n + 1, nil
		}
		return len(sql), nil
	case strings.HasPrefix(sql[i:], "/*"):
		n := strings.Index(sql[i+2:], "*/")
		if n < 0 {
			return 0, refuse(stateSyntax, "unterminated comment")
		}
		return i + 2 + n + 2, nil
	}
	return i, nil
}

func scanToken(sql string, i int) (token, error) {
	switch c := sql[i]; {
	case c == '\'':
		return scanQuoted(sql, i, tokenString)
	case c == '"':
		return scanQuoted(sql, i, tokenQuoted)
	case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
		return span(sql, i, tokenParameter, isDigit), nil
	case isDigit(c):
		return span(sql, i, tokenNumber, func(c byte) bool { return isWordByte(c) || c == '.' }), nil
	case isWordByte(c):
		t := span(sql, i, tokenWord, isWordByte)
		t.text = strings.ToUpper(t.text)
		return t, nil
	case strings.HasPrefix(sql[i:], "::"):
		return token{tokenOther, "::", i, i + 2}, nil
	}
	return token{tokenOther, sql[i : i+1], i, i + 1}, nil
}

func span(sql string, i int, kind tokenKind, in func(byte) bool) token {
	end := i + 1
	for end < len(sql) && in(sql[end]) {
		end++
	}
	return token{kind, sql[i:end], i, end}
}

// scanQuoted scans a quoted token; a doubled quote stands for itself.
func scanQuoted(sql string, i int, kind tokenKind) (token, error) {
	quote := sql[i]
	for end := i + 1; end < len(sql); end++ {
		if sql[end] != quote {
			continue
		}
		if end+1 < len(sql) && sql[end+1] == quote {
			end++
			continue
		}
		return token{kind, sql[i : end+1], i, end + 1}, nil
	}
	return token{}, refuse(stateSyntax, "unterminated quote at offset %d", i)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool {
	return c == '_' || isDigit(c) || (c|0x20 >= 'a' && c|0x20 <= 'z') || c >= utf8.RuneSelf
}
