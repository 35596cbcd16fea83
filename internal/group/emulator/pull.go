package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
)

const (
	// pullWait is the longest time that a primary holds a pull without entries.
	pullWait = 100 * time.Millisecond
	// maxPullEntries bounds the entries of one answer.
	maxPullEntries = 2000
)

// pullHeader is the first row of the answer to a pull.
type pullHeader struct {
	Accepted bool               `json:"accepted"` // the answering instance is primary of the asked term
	Match    bool               `json:"match"`    // its log holds the previous entry of the replica
	Hint     tokenizer.Position `json:"hint"`     // without a match: its last entry not after the previous one
	Last     tokenizer.Position `json:"last"`
}

// servePull answers a pull of a replica that follows at term and whose last entry is
// prev: a header and the entries after prev. It waits a while for the first entry.
func (g *group) servePull(ctx context.Context, term uint64, prev tokenizer.Position) ([][]byte, error) {
	deadline := time.Now().Add(pullWait)
	for {
		h, lines, changed, err := g.readPull(term, prev)
		if err != nil {
			return nil, err
		}
		wait := time.Until(deadline)
		if len(lines) > 0 || !h.Match || wait <= 0 || ctx.Err() != nil {
			first, err := json.Marshal(h)
			return append([][]byte{first}, lines...), err
		}
		g.waitChange(ctx, changed, wait)
	}
}

func (g *group) readPull(term uint64, prev tokenizer.Position) (pullHeader, [][]byte, chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := pullHeader{Last: g.log.last()}
	h.Accepted = g.meta.Role == connector.RolePrimary && g.meta.Term == term && h.Last.Term == term
	if !h.Accepted {
		return h, nil, nil, nil
	}
	h.Match = g.log.holds(prev)
	if !h.Match {
		h.Hint = g.log.before(prev)
		return h, nil, nil, nil
	}
	lines, err := g.log.read(prev.Index, maxPullEntries)
	return h, lines, g.changed, err
}

// pullQuery returns the SQL text of a pull.
func pullQuery(term uint64, prev tokenizer.Position) string {
	return fmt.Sprintf("SELECT group_pull(%d, %d, %d)", term, prev.Term, prev.Index)
}
