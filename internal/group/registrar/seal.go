package registrar

import (
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
)

// sealTTL is how long a seal lasts unless it is renewed, so that a VM that fails during a replacement does not keep others from
// it, or leave the outcome of the primary's writes unknown, for long.
const sealTTL = 2 * time.Second

// Seal tells that a VM is about to end a term of a group.
type Seal struct {
	Term   uint64
	Holder string // the VM
	// IsSpare states that the VM uses a spare token. Its choice is not recorded, so that no other VM may end the term meanwhile: the
	// platform carries out two promote requests that arrive one after the other, even if the second has the higher token.
	IsSpare bool
	// StopsAcks states that no VM may pass on the acknowledgement of a commit in the term or in a lower one. While a promotion is on
	// its way, the primary may still acknowledge commits with the help of an instance that joined or restarted after the
	// replicas were compared. The new primary lacks these.
	StopsAcks bool
}

// activeSeal is a seal and the time at which it expires.
type activeSeal struct {
	Seal
	until time.Time
}

func (s activeSeal) isActive() bool { return time.Now().Before(s.until) }

// Seal records a seal, or renews it. It fails with kind conflict while another VM ends the same term, or a later one, unless the
// claims of both exclude each other.
func (g *Group) Seal(s Seal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	latest := g.seal
	if latest.isActive() && latest.Holder != s.Holder && latest.Term >= s.Term && (latest.IsSpare || s.IsSpare) {
		return classifier.New(classifier.Conflict, "group %s: VM %s is ending term %d", g.name, latest.Holder, latest.Term)
	}
	next := activeSeal{s, time.Now().Add(sealTTL)}
	g.seal = next
	if s.StopsAcks && (s.Term >= g.ackStop.Term || !g.ackStop.isActive()) {
		g.ackStop = next
	}
	return nil
}

// Unseal ends a seal whose holder has sent no promote request.
func (g *Group) Unseal(s Seal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seal.Holder == s.Holder && g.seal.Term == s.Term {
		g.seal = activeSeal{}
	}
	if g.ackStop.Holder == s.Holder && g.ackStop.Term == s.Term {
		g.ackStop = activeSeal{}
	}
}

// StopsAcks reports whether acknowledgements of commits in a term are not passed on.
func (g *Group) StopsAcks(term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopsAcks(term)
}

func (g *Group) stopsAcks(term uint64) bool { return term <= g.ackStop.Term && g.ackStop.isActive() }

// Acknowledge reports whether the acknowledgement of a commit may be passed on. The position is that of the primary at the
// acknowledgement.
func (g *Group) Acknowledge(p tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopsAcks(p.Term) {
		return false
	}
	g.recordAcknowledged(p)
	return true
}
