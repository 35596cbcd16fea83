package executor

import "strings"

// First keywords of the statements that can commit, and of those that can
// begin or end a transaction. CALL and DO are in both lists because a procedure
// may commit.
var (
	commitKeywords  = []string{"COMMIT", "END", "CALL", "DO", "PREPARE"}
	controlKeywords = []string{"BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE", "CALL", "DO", "PREPARE"}
)

// mayCommit reports whether an SQL text can commit the transaction that it runs in.
func mayCommit(sql string) bool { return mayContainStatement(sql, commitKeywords) }

// controlsTransaction reports whether an SQL text can begin or end a transaction or set a savepoint.
func controlsTransaction(sql string) bool { return mayContainStatement(sql, controlKeywords) }

// opensTransaction reports whether an SQL text is a single BEGIN or START TRANSACTION.
func opensTransaction(sql string) bool {
	first, rest, _ := strings.Cut(sql, ";")
	k := firstKeyword(first)
	return (equalsKeyword(k, "BEGIN") || equalsKeyword(k, "START")) && strings.TrimSpace(rest) == ""
}

// mayContainStatement reports whether any statement of an SQL text may begin
// with one of the keywords. It checks every place where a statement can begin:
// at the start, after a semicolon, and after the end of a comment. It does not
// recognize literals and checks such places inside them too, so it has false
// positives but no false negatives.
func mayContainStatement(sql string, keywords []string) bool {
	if strings.Contains(sql, "/*") {
		sql = strings.ReplaceAll(sql, "*/", ";")
	}
	if strings.Contains(sql, "--") {
		sql = strings.NewReplacer("\n", ";", "\r", ";").Replace(sql)
	}
	for sql != "" {
		var statement string
		statement, sql, _ = strings.Cut(sql, ";")
		k := firstKeyword(statement)
		for _, keyword := range keywords {
			if equalsKeyword(k, keyword) {
				return true
			}
		}
	}
	return false
}

func equalsKeyword(word, keyword string) bool {
	return len(word) == len(keyword) && strings.EqualFold(word, keyword)
}

// firstKeyword returns the first word of a statement.
func firstKeyword(s string) string {
	s = strings.TrimLeft(s, " \t\r\n\f\v(")
	for i := range len(s) {
		c := s[i] | 0x20 // lower-cases letters and maps the underscore to 0x7f
		if (c < 'a' || c > 'z') && c != 0x7f {
			return s[:i]
		}
	}
	return s
}
