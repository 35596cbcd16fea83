package executor

import "strings"

// Keywords that open a statement and can end the transaction around it. CALL
// and DO are among them because a procedure may commit.
var (
	endingKeywords  = []string{"COMMIT", "END", "CALL", "DO", "PREPARE"}
	controlKeywords = []string{"BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE", "CALL", "DO", "PREPARE"}
)

// mayCommit reports whether a text can commit the transaction that it runs in.
func mayCommit(sql string) bool { return hasStatement(sql, endingKeywords) }

// controlsTransaction reports whether a text can begin or end a transaction.
func controlsTransaction(sql string) bool { return hasStatement(sql, controlKeywords) }

// opensTransaction reports whether a text is a single BEGIN or START TRANSACTION.
func opensTransaction(sql string) bool {
	first, rest, _ := strings.Cut(sql, ";")
	k := keyword(first)
	return (isKeyword(k, "BEGIN") || isKeyword(k, "START")) && strings.TrimSpace(rest) == ""
}

// hasStatement reports whether any statement of a text may open with one of the
// keywords. It looks at every place where a statement can begin: at the start,
// after a semicolon, and after the end of a comment. Such places inside
// literals count too, so it can report true without reason but never false.
func hasStatement(sql string, keywords []string) bool {
	if strings.Contains(sql, "/*") {
		sql = strings.ReplaceAll(sql, "*/", ";")
	}
	if strings.Contains(sql, "--") {
		sql = strings.NewReplacer("\n", ";", "\r", ";").Replace(sql)
	}
	for sql != "" {
		var s string
		s, sql, _ = strings.Cut(sql, ";")
		k := keyword(s)
		for _, w := range keywords {
			if isKeyword(k, w) {
				return true
			}
		}
	}
	return false
}

func isKeyword(s, w string) bool { return len(s) == len(w) && strings.EqualFold(s, w) }

// keyword returns the first word of a statement.
func keyword(s string) string {
	s = strings.TrimLeft(s, " \t\r\n\f\v(")
	for i := range len(s) {
		c := s[i] | 0x20 // letters in lower case; the underscore becomes 0x7f
		if (c < 'a' || c > 'z') && c != 0x7f {
			return s[:i]
		}
	}
	return s
}
