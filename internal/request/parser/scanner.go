package parser

import "strings"

// token is one lexical element of SQL text.
type token struct {
	kind           tokenKind
	text           string // words in lower case, string literals and quoted identifiers without their quotes
	start, end     int    // byte offsets in the source text
	isUnterminated bool   // the closing quote or the end of the comment is missing
}

type tokenKind byte

const (
	endOfInput tokenKind = iota
	word                 // keyword or unquoted identifier
	quotedIdentifier
	stringLiteral
	number
	symbol              // any other single byte
	unterminatedComment // other comments are skipped
)

// scanner splits SQL text into tokens. Like PostgreSQL with
// standard_conforming_strings on, it treats backslashes as escapes in E'...' only.
type scanner struct {
	src string
	pos int
}

// next skips white space and comments and returns the token after them.
func (s *scanner) next() token {
	if t := s.skipSpaceAndComments(); t.isUnterminated {
		return t
	}
	if s.pos >= len(s.src) {
		return token{kind: endOfInput, start: s.pos, end: s.pos}
	}
	switch c := s.src[s.pos]; {
	case c == '\'':
		return s.scanQuoted(stringLiteral, '\'', false)
	case c == '"':
		return s.scanQuoted(quotedIdentifier, '"', false)
	case c == '$':
		return s.scanDollar()
	case isDigit(c):
		return s.scanWhile(number, isNumberPart)
	case isWordStart(c):
		return s.scanWord()
	}
	s.pos++
	return token{kind: symbol, text: s.src[s.pos-1 : s.pos], start: s.pos - 1, end: s.pos}
}

// skipSpaceAndComments skips white space and comments. It returns a token only for an unterminated comment.
func (s *scanner) skipSpaceAndComments() token {
	for s.pos < len(s.src) {
		rest := s.src[s.pos:]
		switch {
		case strings.IndexByte(" \t\n\r\f\v", rest[0]) >= 0:
			s.pos++
		case strings.HasPrefix(rest, "--"):
			s.skipLineComment()
		case strings.HasPrefix(rest, "/*"):
			start := s.pos
			if !s.skipBlockComment() {
				return token{kind: unterminatedComment, start: start, end: s.pos, isUnterminated: true}
			}
		default:
			return token{}
		}
	}
	return token{}
}

func (s *scanner) skipLineComment() {
	n := strings.IndexAny(s.src[s.pos:], "\n\r")
	if n < 0 {
		s.pos = len(s.src)
		return
	}
	s.pos += n
}

// skipBlockComment skips a block comment, which may contain other block comments, and reports whether it is terminated.
func (s *scanner) skipBlockComment() bool {
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

// scanQuoted scans a string literal or a quoted identifier, in which a doubled quote stands for one quote. With
// allowEscapes, a backslash makes the byte after it part of the text as it is.
func (s *scanner) scanQuoted(kind tokenKind, quote byte, allowEscapes bool) token {
	start := s.pos
	s.pos++
	var b strings.Builder
	for s.pos < len(s.src) {
		c := s.src[s.pos]
		s.pos++
		switch {
		case allowEscapes && c == '\\' && s.pos < len(s.src):
			b.WriteByte(s.src[s.pos])
			s.pos++
		case c != quote:
			b.WriteByte(c)
		case s.pos < len(s.src) && s.src[s.pos] == quote:
			b.WriteByte(quote)
			s.pos++
		default:
			return token{kind: kind, text: b.String(), start: start, end: s.pos}
		}
	}
	return token{kind: kind, text: b.String(), start: start, end: s.pos, isUnterminated: true}
}

// scanDollar scans a dollar-quoted string, or the dollar sign of a parameter such as $1.
func (s *scanner) scanDollar() token {
	start := s.pos
	tagEnd := start + 1
	for tagEnd < len(s.src) && isWordPart(s.src[tagEnd]) && s.src[tagEnd] != '$' {
		tagEnd++
	}
	isQuote := tagEnd < len(s.src) && s.src[tagEnd] == '$' && (tagEnd == start+1 || !isDigit(s.src[start+1]))
	if !isQuote {
		s.pos++
		return token{kind: symbol, text: "$", start: start, end: s.pos}
	}
	delimiter := s.src[start : tagEnd+1]
	body := s.src[tagEnd+1:]
	length := strings.Index(body, delimiter)
	if length < 0 {
		s.pos = len(s.src)
		return token{kind: stringLiteral, text: body, start: start, end: s.pos, isUnterminated: true}
	}
	s.pos = tagEnd + 1 + length + len(delimiter)
	return token{kind: stringLiteral, text: body[:length], start: start, end: s.pos}
}

// scanWord scans a keyword, an unquoted identifier, or a string literal with a letter before its quote such as E'...'.
func (s *scanner) scanWord() token {
	t := s.scanWhile(word, isWordPart)
	t.text = strings.ToLower(t.text)
	if s.pos >= len(s.src) || s.src[s.pos] != '\'' {
		return t
	}
	switch t.text {
	case "e":
		literal := s.scanQuoted(stringLiteral, '\'', true)
		literal.start = t.start
		return literal
	case "b", "x", "n":
		literal := s.scanQuoted(stringLiteral, '\'', false)
		literal.start = t.start
		return literal
	}
	return t
}

// scanWhile returns a token of the bytes up to the first one that accept rejects.
func (s *scanner) scanWhile(kind tokenKind, accept func(byte) bool) token {
	start := s.pos
	for s.pos < len(s.src) && accept(s.src[s.pos]) {
		s.pos++
	}
	return token{kind: kind, text: s.src[start:s.pos], start: start, end: s.pos}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

// isNumberPart does not accept letters: PostgreSQL before version 15 reads "1for" as the number 1 and the keyword FOR.
func isNumberPart(c byte) bool { return isDigit(c) || c == '.' }
