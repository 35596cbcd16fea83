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

// The statements hold only values without quotes (a UUID, hexadecimal and
// base64 text, numbers), so they need no parameters and take one message each.
// Their syntax is common to PostgreSQL and SQLite.
const (
	sqlCreateTable = `CREATE TABLE IF NOT EXISTS parsleyscale_requests (` +
		`key TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, createdMs BIGINT NOT NULL, state TEXT NOT NULL, answer TEXT NOT NULL)`
	sqlCreateIndex = `CREATE INDEX IF NOT EXISTS parsleyscale_requests_created ON parsleyscale_requests (createdMs)`
	sqlInsert      = `INSERT INTO parsleyscale_requests (key, fingerprint, createdMs, state, answer) VALUES ('%s', '%s', %d, '%s', '') ON CONFLICT (key) DO NOTHING`
	sqlUpdate      = `UPDATE parsleyscale_requests SET answer = '%s' WHERE key = '%s'`
	// sqlIdle ends the transaction of a keyed write whose gateway or connection is
	// silent between its two round trips. Until then the instance keeps the locks of the write,
	// which must be free when the gateway repeats it after DefaultSilence.
	sqlIdle   = `SET LOCAL idle_in_transaction_session_timeout = 500`
	sqlTouch  = `UPDATE parsleyscale_requests SET state = state WHERE key = '%s'`
	sqlSelect = `SELECT state, fingerprint, answer FROM parsleyscale_requests WHERE key = '%s'`
	sqlSweep  = `DELETE FROM parsleyscale_requests WHERE key IN (SELECT key FROM parsleyscale_requests WHERE createdMs < %d LIMIT %d)`
)

// SQLSTATEs of the key table.
const (
	undefinedTable  = "42P01"
	uniqueViolation = "23505"
)

// isLocked reports that another transaction with the key may be in progress:
// the insert ended with a lock, serialization or deadlock error instead of a wait.
func (r *reply) isLocked() bool {
	return strings.HasPrefix(r.code, "55") || strings.HasPrefix(r.code, "40") || r.code != "" && strings.Contains(r.message, "locked")
}

// requestKey is a checked key with the fingerprint of its request.
type requestKey struct {
	id          string // canonical form of the UUID
	created     time.Time
	fingerprint string
}

func (k requestKey) insert(state string) string {
	return fmt.Sprintf(sqlInsert, k.id, k.fingerprint, k.created.UnixMilli(), state)
}

func (k requestKey) update(r record) string { return fmt.Sprintf(sqlUpdate, r.String(), k.id) }

// touch commits without a change, so that the commit can be recorded for the session of a repeat.
func (k requestKey) touch() string { return fmt.Sprintf(sqlTouch, k.id) }

func (k requestKey) lookup() string { return fmt.Sprintf(sqlSelect, k.id) }

// inserted, conflicts and lacksTable read the reply to an insert of a key.
func (r *reply) inserted() bool  { return r.tag == "INSERT 0 1" }
func (r *reply) conflicts() bool { return r.tag == "INSERT 0 0" || r.code == uniqueViolation }
func (r *reply) lacksTable() bool {
	return r.code == undefinedTable || r.code != "" && strings.Contains(r.message, "no such table")
}

// record is the answer of a committed request: its encoded messages without
// ReadyForQuery, and the types of the caller's messages that they answer.
type record struct {
	shape   []byte
	answers []byte
}

// String returns the form that is kept in the table.
func (r record) String() string {
	return string(r.shape) + ":" + base64.StdEncoding.EncodeToString(r.answers)
}

func parseRecord(s string) (record, error) {
	shape, text, _ := strings.Cut(s, ":")
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return record{}, fmt.Errorf("recorded answer: %w", err)
	}
	return record{shape: []byte(shape), answers: b}, nil
}

// fits reports whether the recorded messages answer a batch of the given shape.
func (r record) fits(shape []byte) bool { return slices.Equal(r.shape, shape) }
