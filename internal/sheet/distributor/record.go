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

// Tables of the store and the key of the only row of the first.
const (
	sheetTable  = "sheets"
	currentKey  = "current"
	changeTable = "changes" // by change identity
	auditTable  = "audit"   // by version
)

// Record is the audit record of an accepted sheet.
type Record struct {
	Version uint64        `json:"version"`
	When    time.Time     `json:"when"`
	Who     string        `json:"who"`
	Change  string        `json:"change"` // identity
	Base    uint64        `json:"base"`
	Diff    parser.Change `json:"difference"`

	Repeated bool `json:"-"` // Accept found the change accepted already
}

// UnmarshalJSON decodes and checks a record.
func (r *Record) UnmarshalJSON(b []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.Version != p.Base+1 || p.Change == "" || p.Who == "" {
		return fmt.Errorf("audit record of version %d: base %d, change %q, who %q", p.Version, p.Base, p.Change, p.Who)
	}
	*r = Record(p)
	return nil
}

// change is the row of a change identity.
type change struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// digest tells two uses of a change identity apart.
func digest(base uint64, sheet []byte) string {
	return fmt.Sprintf("%d-%016x", base, xxhash.Sum64(sheet))
}

// auditKey has a fixed width, so that the order of keys is the order of versions.
func auditKey(version uint64) string { return fmt.Sprintf("%020d", version) }

// Conflict is the error of an operator whose base version is not in force. Its
// kind is conflict.
type Conflict struct {
	Base    uint64        `json:"base"`
	Current uint64        `json:"current"`
	Since   []Record      `json:"since,omitempty"` // accepted after the base version
	Diff    parser.Change `json:"difference"`      // from the sheet in force to the refused one
}

// Error implements error and shows both differences.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sheet: base version %d, but version %d is in force\n", c.Base, c.Current)
	for _, r := range c.Since {
		fmt.Fprintf(&b, "version %d by %s at %s:\n%s", r.Version, r.Who, r.When.Format(time.RFC3339), r.Diff.Text())
	}
	if c.Diff.Empty() {
		fmt.Fprintf(&b, "the refused sheet equals version %d", c.Current)
	} else {
		fmt.Fprintf(&b, "from version %d to the refused sheet:\n%s", c.Current, c.Diff.Text())
	}
	return strings.TrimRight(b.String(), "\n")
}

// Unwrap gives the error its kind.
func (c *Conflict) Unwrap() error {
	return classifier.New(classifier.Conflict, "sheet: base version %d, but version %d is in force", c.Base, c.Current)
}
