// Package claimer lets one VM at a time replace the primary of a group, by a
// conditional write of the group's row in the store. The version of that write
// is the fencing token: unique, and higher than all tokens before.
//
// A claim runs out on its own, so a VM that vanishes blocks nobody for long.
// Safety does not rest on it: a VM that goes on after its claim has run out meets
// a higher token at the platform. It keeps two VMs from comparing the replicas
// at the same time and choosing different ones.
package claimer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

const (
	// table holds a row for each group.
	table = "claims"
	// life is how long a claim keeps others away. An attempt usually takes less than a second.
	life = 2 * time.Second
	// tries bounds the writes of one claim.
	tries = 3
)

// Store writes rows under a condition.
type Store interface {
	// Swap writes a row whose version is as given, zero for none, and returns the
	// version of the write. Otherwise it returns the present row and an error of kind conflict.
	Swap(ctx context.Context, table, key string, value []byte, version uint64) (uint64, follower.Row, error)
}

// claim is a group's row.
type claim struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"` // that is being ended

	version uint64
	seenAt  time.Time
}

// Claimer claims groups for one VM.
type Claimer struct {
	store Store
	self  string

	mu    sync.Mutex
	known map[string]claim // by group
}

// New returns a claimer for a VM.
func New(s Store, self string) *Claimer {
	return &Claimer{store: s, self: self, known: map[string]claim{}}
}

// Claim returns a token for ending a term of a group. It fails with kind
// conflict while another VM has a claim on that term or a later one.
func (c *Claimer) Claim(ctx context.Context, group string, term uint64) (uint64, error) {
	c.mu.Lock()
	known := c.known[group]
	c.mu.Unlock()
	value, err := json.Marshal(claim{Holder: c.self, Term: term})
	if err != nil {
		return 0, err
	}
	for range tries {
		if known.Holder != "" && known.Holder != c.self && known.Term >= term && time.Since(known.seenAt) < life {
			return 0, classifier.New(classifier.Conflict, "VM %s replaces the primary of group %s", known.Holder, group)
		}
		token, row, err := c.store.Swap(ctx, table, group, value, known.version)
		switch {
		case err == nil:
			c.keep(group, claim{Holder: c.self, Term: term, version: token, seenAt: time.Now()})
			return token, nil
		case !classifier.Is(err, classifier.Conflict):
			return 0, err
		}
		known = c.seen(group, row)
	}
	return 0, classifier.New(classifier.Conflict, "group %s is claimed by others all the time", group)
}

// seen records the present row. The time of a claim counts from when it was first seen.
func (c *Claimer) seen(group string, row follower.Row) claim {
	next := claim{version: row.Version, seenAt: time.Now()}
	if err := json.Unmarshal(row.Value, &next); err != nil {
		next.Holder = "" // not written by a VM of this version
	}
	return c.keep(group, next)
}

func (c *Claimer) keep(group string, next claim) claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.known[group]; old.version == next.version {
		next.seenAt = old.seenAt
	}
	c.known[group] = next
	return next
}
