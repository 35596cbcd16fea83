package executor

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"time"
)

// States of a request key.
const (
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// Statements on the table of request keys. All values in them are free of quotes
// (UUIDs, hexadecimal and base64 text, numbers), so they need no parameters and
// take one simple query each. Their syntax is common to PostgreSQL and SQLite.
const (
	sqlCreateKeyTable = `CREATE TABLE IF NOT EXISTS parsleyscale_requests (` +
		`key TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, createdMs BIGINT NOT NULL, state TEXT NOT NULL, answer TEXT NOT NULL)`
	sqlCreateKeyIndex = `CREATE INDEX IF NOT EXISTS parsleyscale_requests_created ON parsleyscale_requests (createdMs)`
	sqlInsertKey      = `INSERT INTO parsleyscale_requests (key, fingerprint, createdMs, state, answer) VALUES ('%s', '%s', %d, '%s', '') ON CONFLICT (key) DO NOTHING`
	sqlStoreResponse  = `UPDATE parsleyscale_requests SET answer = '%s' WHERE key = '%s'`
	// sqlSetIdleTimeout makes the instance end the transaction of a keyed write (500 ms) if its gateway or connection
	// fails between the two round trips of the write. The instance holds the locks of the write until then, and they
	// must be free when the gateway retries it after DefaultResponseTimeout.
	sqlSetIdleTimeout    = `SET LOCAL idle_in_transaction_session_timeout = 500`
	sqlTouchKey          = `UPDATE parsleyscale_requests SET state = state WHERE key = '%s'`
	sqlSelectKey         = `SELECT state, fingerprint, answer FROM parsleyscale_requests WHERE key = '%s'`
	sqlDeleteExpiredKeys = `DELETE FROM parsleyscale_requests WHERE key IN (SELECT key FROM parsleyscale_requests WHERE createdMs < %d LIMIT %d)`
)

// SQLSTATEs of PostgreSQL for statements on the table of request keys.
const (
	sqlstateUndefinedTable  = "42P01"
	sqlstateUniqueViolation = "23505"
)

// lockConflict reports whether the insert of a key failed with a lock, serialization or deadlock error (SQLSTATE
// classes 55 and 40, or SQLite's "database is locked"), so that another transaction with the key may be in progress.
func (r *statementResult) lockConflict() bool {
	return strings.HasPrefix(r.sqlstate, "55") || strings.HasPrefix(r.sqlstate, "40") || r.sqlstate != "" && strings.Contains(r.message, "locked")
}

// requestKey is a validated request key with the fingerprint of its request.
type requestKey struct {
	id          string    // canonical form of the UUID
	created     time.Time // from the timestamp of the UUID
	fingerprint string    // hash of the SQL texts and parameters, or transactionFingerprint
}

func (k requestKey) insertSQL(state string) string {
	return fmt.Sprintf(sqlInsertKey, k.id, k.fingerprint, k.created.UnixMilli(), state)
}

func (k requestKey) storeResponseSQL(r storedResponse) string {
	return fmt.Sprintf(sqlStoreResponse, r.String(), k.id)
}

// touchSQL returns a statement that commits without changing the row of the key. The position of that commit can be
// recorded for the session of a repeat.
func (k requestKey) touchSQL() string { return fmt.Sprintf(sqlTouchKey, k.id) }

func (k requestKey) selectSQL() string { return fmt.Sprintf(sqlSelectKey, k.id) }

// keyInserted reports whether the statement inserted the key.
func (r *statementResult) keyInserted() bool { return r.tag == "INSERT 0 1" }

// keyExists reports whether the insert found the key in the table.
func (r *statementResult) keyExists() bool {
	return r.tag == "INSERT 0 0" || r.sqlstate == sqlstateUniqueViolation
}

// keyTableMissing reports whether the statement failed because the table of request keys does not exist.
func (r *statementResult) keyTableMissing() bool {
	return r.sqlstate == sqlstateUndefinedTable || r.sqlstate != "" && strings.Contains(r.message, "no such table")
}

// storedResponse is the response to a committed request as the table of request keys holds it.
type storedResponse struct {
	messageTypes []byte // type bytes of the client's messages that it responds to
	response     []byte // encoded messages without ReadyForQuery
}

// String returns the value of the column answer.
func (r storedResponse) String() string {
	return string(r.messageTypes) + ":" + base64.StdEncoding.EncodeToString(r.response)
}

func parseStoredResponse(s string) (storedResponse, error) {
	messageTypes, text, _ := strings.Cut(s, ":")
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return storedResponse{}, fmt.Errorf("decode the stored response of a request key: %w", err)
	}
	return storedResponse{messageTypes: []byte(messageTypes), response: b}, nil
}

// answersBatch reports whether r responds to a batch with the given message types. The fingerprint does not cover
// the types, so a repeat can have the same fingerprint but expect other responses.
func (r storedResponse) answersBatch(messageTypes []byte) bool {
	return slices.Equal(r.messageTypes, messageTypes)
}
