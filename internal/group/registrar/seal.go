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
	// StopsAcks states that no VM may pass on the acknowledgement of a commit in the term or in a lower one that is not covered by
	// the position After. While a promotion is on its way, the primary may still acknowledge commits with the help of an instance that
	// joined or restarted after the replicas were compared. The new primary lacks these.
	StopsAcks bool
	After     tokenizer.Position // of a demoted primary, which its successor covers; zero: none
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
	for holder, other := range g.seals {
		if other.isActive() && holder != s.Holder && other.Term >= s.Term && (other.IsSpare || s.IsSpare) {
			return classifier.New(classifier.Conflict, "group %s: VM %s is ending term %d", g.name, holder, other.Term)
		}
	}
	if last := g.seals[s.Holder]; last.isActive() && last.Term == s.Term && last.StopsAcks {
		if !s.StopsAcks || s.After.Covers(last.After) {
			s.After = last.After // an earlier promote request of the VM may still be carried out
		}
		s.StopsAcks = true
	}
	g.seals[s.Holder] = activeSeal{s, time.Now().Add(sealTTL)}
	return nil
}

// IsSealedByOther reports whether another VM than self is ending a term.
func (g *Group) IsSealedByOther(self string, term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for holder, s := range g.seals {
		if holder != self && s.Term == term && s.isActive() {
			return true
		}
	}
	return false
}

// Unseal ends a seal whose holder has sent no promote request.
func (g *Group) Unseal(s Seal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seals[s.Holder].Term == s.Term {
		delete(g.seals, s.Holder)
	}
}

// StopsAck reports whether the acknowledgement of a commit is not passed on. The position is that of the primary at the
// acknowledgement.
func (g *Group) StopsAck(p tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopsAck(p)
}

func (g *Group) stopsAck(p tokenizer.Position) bool {
	for _, s := range g.seals {
		if s.StopsAcks && s.isActive() && p.Term <= s.Term && (s.After.IsZero() || !s.After.Covers(p)) {
			return true
		}
	}
	return false
}

// Acknowledge reports whether the acknowledgement of a commit may be passed on, and records it if so. The position is that of the
// primary at the acknowledgement.
func (g *Group) Acknowledge(p tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopsAck(p) {
		return false
	}
	if !g.isReceived(p) {
		g.passedOn = g.passedOn.Max(p)
		g.raiseFloors(p)
	}
	if p.Covers(g.latestAck.position) {
		g.latestAck = acknowledgement{position: p, instance: g.primary.Instance, at: time.Now()}
	}
	return true
}

// acknowledgement is one that this VM has passed on.
type acknowledgement struct {
	position tokenizer.Position // of the primary
	instance string             // the primary
	at       time.Time
}
