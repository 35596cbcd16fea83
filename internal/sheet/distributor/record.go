package distributor

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/parser"
)

// Tables in the platform's store.
const (
	sheetTable  = "sheets"
	currentKey  = "current" // the only row of sheetTable
	changeTable = "changes" // keyed by change ID
	auditTable  = "audit"   // keyed by version, see auditKey
)

// Record is the audit record of an accepted version of the sheet.
type Record struct {
	Version     uint64        `json:"version"`
	AcceptedAt  time.Time     `json:"when"`
	Operator    string        `json:"who"`
	ChangeID    string        `json:"change"` // change ID, an idempotency key
	BaseVersion uint64        `json:"base"`   // version that the change was made for
	Diff        parser.Change `json:"difference"`

	AlreadyAccepted bool `json:"-"` // the change had been accepted by an earlier attempt
}

// UnmarshalJSON decodes a record and rejects one whose fields are missing or inconsistent.
func (r *Record) UnmarshalJSON(b []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.Version != p.BaseVersion+1 || p.ChangeID == "" || p.Operator == "" {
		return fmt.Errorf("invalid audit record of version %d: base version %d, change identity %q, operator %q", p.Version, p.BaseVersion, p.ChangeID, p.Operator)
	}
	*r = Record(p)
	return nil
}

// changeRow is the row of changeTable that is stored under a change ID.
type changeRow struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// digest identifies a change by its base version and encoded sheet. It detects the
// reuse of a change ID for a different change.
func digest(baseVersion uint64, sheet []byte) string {
	return fmt.Sprintf("%d-%016x", baseVersion, xxhash.Sum64(sheet))
}

// auditKey returns the key of an audit record. Keys have a fixed width, so that their
// lexical order is the order of versions.
func auditKey(version uint64) string { return fmt.Sprintf("%020d", version) }

// Conflict is the error for a change whose base version is not the current version.
// Its kind is conflict.
type Conflict struct {
	BaseVersion    uint64        `json:"base"`
	CurrentVersion uint64        `json:"current"`
	AcceptedSince  []Record      `json:"since,omitempty"` // changes accepted after the base version
	Diff           parser.Change `json:"difference"`      // from the current sheet to the refused one
}

// Error lists the changes accepted since the base version and the difference between
// the current sheet and the refused one.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sheet: base version %d, but version %d is in force\n", c.BaseVersion, c.CurrentVersion)
	for _, r := range c.AcceptedSince {
		fmt.Fprintf(&b, "version %d by %s at %s:\n%s", r.Version, r.Operator, r.AcceptedAt.Format(time.RFC3339), r.Diff.Text())
	}
	if c.Diff.Empty() {
		fmt.Fprintf(&b, "the refused sheet equals version %d", c.CurrentVersion)
	} else {
		fmt.Fprintf(&b, "from version %d to the refused sheet:\n%s", c.CurrentVersion, c.Diff.Text())
	}
	return strings.TrimRight(b.String(), "\n")
}

// Unwrap returns an error of kind conflict, by which the classifier finds the kind.
func (c *Conflict) Unwrap() error {
	return classifier.New(classifier.Conflict, "sheet: base version %d, but version %d is in force", c.BaseVersion, c.CurrentVersion)
}
