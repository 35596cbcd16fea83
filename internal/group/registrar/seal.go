package registrar

import (
	"time"

	"parsleyscale/internal/session/tokenizer"
)

// sealTTL is how long a seal lasts unless it is renewed, so that a replacement that is given up does not leave the outcome of
// the primary's writes unknown for long.
const sealTTL = 2 * time.Second

// seal is the end of the acknowledgements of a term. While a promotion is on its way, the primary may still acknowledge commits
// with the help of an instance that joined or restarted after the replicas were compared. The new primary lacks these.
type seal struct {
	term  uint64 // highest sealed term
	until time.Time
}

// Seal keeps this VM from passing on acknowledgements of commits in a term, or in lower ones, for sealTTL.
func (g *Group) Seal(term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term < g.seal.term && time.Now().Before(g.seal.until) {
		return
	}
	g.seal = seal{term: term, until: time.Now().Add(sealTTL)}
}

// IsSealed reports whether acknowledgements of commits in a term are not passed on.
func (g *Group) IsSealed(term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isSealed(term)
}

func (g *Group) isSealed(term uint64) bool {
	return term <= g.seal.term && time.Now().Before(g.seal.until)
}

// Acknowledge reports whether the acknowledgement of a commit may be passed on. The position is that of the primary at the
// acknowledgement.
func (g *Group) Acknowledge(p tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isSealed(p.Term) {
		return false
	}
	g.recordAcknowledged(p)
	return true
}
