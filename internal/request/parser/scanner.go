package parser

import "strings"

// token is one lexical element of SQL text.
type token struct {
	sort       tokenSort
	text       string // words in lower case, literals and quoted identifiers without their quotes
	start, end int    // bytes of the source text
	open       bool   // the closing quote or comment mark is missing
}

type tokenSort byte

const (
	endOfText tokenSort = iota
	word
	quotedIdentifier
	literal
	number
	symbol
	comment // only returned when it is not closed
)

// scanner splits SQL text into tokens, with standard_conforming_strings on.
type scanner struct {
	src string
	pos int
}

// next returns the next token after blanks and comments.
func (s *scanner) next() token {
	if t := s.skipBlanks(); t.open {
		return t
	}
	if s.pos >= len(s.src) {
		return token{sort: endOfText, start: s.pos, end: s.pos}
	}
	switch c := s.src[s.pos]; {
	case c == '\'':
		return s.quoted(literal, '\'', false)
	case c == '"':
		return s.quoted(quotedIdentifier, '"', false)
	case c == '$':
		return s.dollar()
	case isDigit(c):
		return s.take(number, isNumberPart)
	case isWordStart(c):
		return s.word()
	}
	s.pos++
	return token{sort: symbol, text: s.src[s.pos-1 : s.pos], start: s.pos - 1, end: s.pos}
}

func (s *scanner) skipBlanks() token {
	for s.pos < len(s.src) {
		rest := s.src[s.pos:]
		switch {
		case strings.IndexByte(" \t\n\r\f\v", rest[0]) >= 0:
			s.pos++
		case strings.HasPrefix(rest, "--"):
			s.skipLine()
		case strings.HasPrefix(rest, "/*"):
			start := s.pos
			if !s.skipBlock() {
				return token{sort: comment, start: start, end: s.pos, open: true}
			}
		default:
			return token{}
		}
	}
	return token{}
}

func (s *scanner) skipLine() {
	n := strings.IndexAny(s.src[s.pos:], "\n\r")
	if n < 0 {
		s.pos = len(s.src)
		return
	}
	s.pos += n
}

// skipBlock skips a block comment. Block comments nest.
func (s *scanner) skipBlock() bool {
	depth := 0
	for s.pos < len(s.src) {
		rest := s.src[s.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return true
		}
	}
	return false
}

// quoted reads a literal whose quote is doubled to stand for itself.
func (s *scanner) quoted(sort tokenSort, quote byte, backslash bool) token {
	start := s.pos
	s.pos++
	var b strings.Builder
	for s.pos < len(s.src) {
		c := s.src[s.pos]
		s.pos++
		switch {
		case backslash && c == '\\' && s.pos < len(s.src):
			b.WriteByte(s.src[s.pos])
			s.pos++
		case c != quote:
			b.WriteByte(c)
		case s.pos < len(s.src) && s.src[s.pos] == quote:
			b.WriteByte(quote)
			s.pos++
		default:
			return token{sort: sort, text: b.String(), start: start, end: s.pos}
		}
	}
	return token{sort: sort, text: b.String(), start: start, end: s.pos, open: true}
}

// dollar reads a dollar-quoted literal, or the dollar sign of a parameter.
func (s *scanner) dollar() token {
	start := s.pos
	n := start + 1
	for n < len(s.src) && isWordPart(s.src[n]) && s.src[n] != '$' {
		n++
	}
	isQuote := n < len(s.src) && s.src[n] == '$' && (n == start+1 || !isDigit(s.src[start+1]))
	if !isQuote {
		s.pos++
		return token{sort: symbol, text: "$", start: start, end: s.pos}
	}
	tag := s.src[start : n+1]
	body := s.src[n+1:]
	length := strings.Index(body, tag)
	if length < 0 {
		s.pos = len(s.src)
		return token{sort: literal, text: body, start: start, end: s.pos, open: true}
	}
	s.pos = n + 1 + length + len(tag)
	return token{sort: literal, text: body[:length], start: start, end: s.pos}
}

// word reads a keyword or an identifier, or a literal that starts with a letter such as E'...'.
func (s *scanner) word() token {
	t := s.take(word, isWordPart)
	t.text = strings.ToLower(t.text)
	if s.pos >= len(s.src) || s.src[s.pos] != '\'' {
		return t
	}
	switch t.text {
	case "e":
		q := s.quoted(literal, '\'', true)
		q.start = t.start
		return q
	case "b", "x", "n":
		q := s.quoted(literal, '\'', false)
		q.start = t.start
		return q
	}
	return t
}

func (s *scanner) take(sort tokenSort, part func(byte) bool) token {
	start := s.pos
	for s.pos < len(s.src) && part(s.src[s.pos]) {
		s.pos++
	}
	return token{sort: sort, text: s.src[start:s.pos], start: start, end: s.pos}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

// isNumberPart does not accept letters: PostgreSQL before version 15 reads "1for" as the number 1 and the keyword FOR.
func isNumberPart(c byte) bool { return isDigit(c) || c == '.' }
