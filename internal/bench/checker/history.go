package checker

import "time"

// Kind is the kind of an operation.
type Kind string

// The kinds of operations.
const (
	Insert      Kind = "insert"      // one entry
	Transaction Kind = "transaction" // several entries in one transaction
	Correction  Kind = "correction"  // sets a name to the next number
	Increment   Kind = "increment"   // raises a counter by one
	ReadPage    Kind = "readPage"    // all entries of a page
	ReadName    Kind = "readName"    // one name
	ReadCounter Kind = "readCounter" // one counter
)

// IsRead reports whether operations of the kind change nothing.
func (k Kind) IsRead() bool { return k == ReadPage || k == ReadName || k == ReadCounter }

// Outcome is what the caller knows about an attempt.
type Outcome string

// The outcomes.
const (
	Acknowledged Outcome = "acknowledged" // also a repeat that was told that the request is done
	Refused      Outcome = "refused"      // answered as not run
	Unknown      Outcome = "unknown"      // answered as unknown, or the connection was lost
)

// Entry is a row that is only inserted.
type Entry struct {
	Request string `json:"request"`
	Part    int    `json:"part"`
	Page    string `json:"page"`
}

// Operation is one attempt of a caller. Attempts of one request share Request.
// Times count from the start of the history.
type Operation struct {
	Caller    string        `json:"caller"`
	Session   string        `json:"session,omitempty"` // empty: no session beyond the connection
	Database  string        `json:"database"`
	VM        string        `json:"vm,omitempty"`
	Kind      Kind          `json:"kind"`
	Request   string        `json:"request,omitempty"`
	Key       string        `json:"key,omitempty"`
	Row       string        `json:"row"`              // page, name or counter
	Value     int64         `json:"value,omitempty"`  // of a correction
	Parts     int           `json:"parts,omitempty"`  // entries of a transaction
	Repeat    bool          `json:"repeat,omitempty"` // the request was sent before
	Start     time.Duration `json:"start"`
	End       time.Duration `json:"end"`
	Outcome   Outcome       `json:"outcome"`
	ErrorKind string        `json:"errorKind,omitempty"`
	Message   string        `json:"message,omitempty"`
	Term      uint64        `json:"term,omitempty"` // of the session's floor after an acknowledged write; zero: not known

	Bound    time.Duration `json:"bound,omitempty"` // staleness that a read accepts
	Entries  []Entry       `json:"entries,omitempty"`
	Total    int           `json:"total,omitempty"` // number of entries of the page by the answer's own count
	Got      int64         `json:"got,omitempty"`   // value of a name or a counter; zero: no such row
	GotRow   string        `json:"gotRow,omitempty"`
	ServedBy string        `json:"servedBy,omitempty"` // sampled
	Reason   string        `json:"reason,omitempty"`   // sampled
}

// History is all operations of a load.
type History []Operation

// Final is what one database holds in the end.
type Final struct {
	Term     uint64           `json:"term"`
	Entries  []Entry          `json:"entries"`
	Names    map[string]int64 `json:"names"`
	Counters map[string]int64 `json:"counters"`
}

// Counts are the findings; all must be zero.
type Counts struct {
	Lost                   int `json:"lost"`                   // acknowledged but absent
	Doubled                int `json:"doubled"`                // present twice, or the effect applied twice
	StaleSessionReads      int `json:"staleSessionReads"`      // a read that misses an acknowledged write of its session
	OverStaleReads         int `json:"overStaleReads"`         // a read that misses a write acknowledged longer ago than its bound
	FalseNotRun            int `json:"falseNotRun"`            // answered as not run but present
	AcknowledgedByReplaced int `json:"acknowledgedByReplaced"` // acknowledged by a primary that had been replaced
	Mixed                  int `json:"mixed"`                  // rows of another request, or a part of a transaction
	ShortAnswers           int `json:"shortAnswers"`           // fewer rows than there were, without an error
}

// IsClean reports whether all counts are zero.
func (c Counts) IsClean() bool { return c == Counts{} }

// Finding is one fault with the operation that shows it.
type Finding struct {
	Count     string    `json:"count"`
	Reason    string    `json:"reason"`
	Operation Operation `json:"operation"`
}
