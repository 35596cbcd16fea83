package registrar

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/session/tokenizer"
)

// sealTTL is how long a seal lasts unless it is renewed, so that a VM that fails during a replacement does not keep others from
// it, or leave the outcome of the primary's writes unknown, for long.
const sealTTL = 2 * time.Second

// OrderLifetime is how long after its call a promote request without an answer may still be carried out.
const OrderLifetime = 15 * time.Second

// Seal tells that a VM is about to end a term of a group.
type Seal struct {
	Term   uint64 `json:"term"`
	Holder string `json:"holder"` // the VM
	// IsSpare states that the VM uses a spare token. Its choice is not recorded, so that no other VM may end the term meanwhile: the
	// platform carries out two promote requests that arrive one after the other, even if the second has the higher token.
	IsSpare bool `json:"spare,omitempty"`
	// StopsAcks states that no VM may pass on the acknowledgement of a commit in the term or in a lower one that is not covered by
	// the position After. While a promotion is on its way, the primary may still acknowledge commits with the help of an instance that
	// joined or restarted after the replicas were compared. The new primary lacks these.
	StopsAcks bool               `json:"stopsAcks"`
	After     tokenizer.Position `json:"after"` // of a demoted primary, which its successor covers; zero: none
	// Order is the promote request that the VM is about to send, or has sent, at the end of the term; the zero value: none. The platform may
	// carry it out long after its call, whatever has become of the VM.
	Order Order `json:"order"`
}

// Order is a promote request.
type Order struct {
	Instance string `json:"instance"` // to be promoted
	Token    uint64 `json:"token"`    // at most that of the request, since the record of the choice raises it
}

// UnmarshalJSON decodes a seal that another VM knows, and rejects one without a term, a holder or a promote request.
func (s *Seal) UnmarshalJSON(b []byte) error {
	type fields Seal // without this method
	var f fields
	if err := json.Unmarshal(b, &f); err != nil {
		return err
	}
	if f.Term == 0 || f.Holder == "" || f.Order.Instance == "" {
		return fmt.Errorf("seal of term %d by %q for %q: term, holder and instance are needed", f.Term, f.Holder, f.Order.Instance)
	}
	*s = Seal(f)
	return nil
}

// activeSeal is a seal and the time at which it expires.
type activeSeal struct {
	Seal
	until      time.Time
	orderedAt  time.Time // when its order was last known to be sent; zero: there is none
	wasPrimary bool      // the instance of the order was the known primary before
}

func (s activeSeal) isActive() bool { return time.Now().Before(s.until) }

// isOrderOpen reports whether the order may still be carried out.
func (s activeSeal) isOrderOpen() bool {
	return !s.orderedAt.IsZero() && time.Since(s.orderedAt) < OrderLifetime
}

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
	last := g.seals[s.Holder]
	isContinued := last.Term == s.Term && (last.isActive() || last.isOrderOpen())
	if isContinued && last.StopsAcks {
		if !s.StopsAcks || s.After.Covers(last.After) {
			s.After = last.After // an earlier promote request of the VM may still be carried out
		}
		s.StopsAcks = true
	}
	next := activeSeal{Seal: s, until: time.Now().Add(sealTTL)}
	switch {
	case s.Order.Instance != "":
		next.orderedAt, next.wasPrimary = time.Now(), s.Order.Instance == g.latestPrimary
		if isContinued && last.Order.Instance == s.Order.Instance {
			next.wasPrimary = last.wasPrimary
		}
	case isContinued && last.isOrderOpen():
		next.Order, next.orderedAt, next.wasPrimary = last.Order, last.orderedAt, last.wasPrimary
	}
	g.seals[s.Holder] = next
	return nil
}

// OpenSeals returns the seals of a term, or of all terms if it is zero, whose promote requests may still be carried out.
func (g *Group) OpenSeals(term uint64) []Seal {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []Seal
	for _, s := range g.seals {
		if (s.Term == term || term == 0) && s.isOrderOpen() {
			list = append(list, s.Seal)
		}
	}
	return list
}

// OpenOrders returns the promote requests at the end of a term that may still be carried out, as far as this VM knows.
func (g *Group) OpenOrders(term uint64) []Order {
	var list []Order
	for _, s := range g.OpenSeals(term) {
		list = append(list, s.Order)
	}
	slices.SortFunc(list, func(a, b Order) int { return cmp.Compare(a.Token, b.Token) })
	return list
}

// abandonedSince returns since when no VM has worked at the end of the present term although a promote request for it may still be
// carried out. It returns the zero time if there is none, or if its instance leads already.
func (g *Group) abandonedSince() time.Time {
	var since time.Time
	for _, s := range g.seals {
		isCarriedOut := g.primary.Instance == s.Order.Instance && !s.wasPrimary
		switch {
		case s.Term < g.primary.Term || !s.isOrderOpen() || isCarriedOut:
		case s.isActive():
			return time.Time{}
		case s.until.After(since):
			since = s.until
		}
	}
	return since
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
		isInForce := s.isActive() || s.isOrderOpen()
		if s.StopsAcks && isInForce && p.Term <= s.Term && (s.After.IsZero() || !s.After.Covers(p)) {
			return true
		}
	}
	return g.isAboutToEnd(p.Term)
}

// isAboutToEnd reports whether a VM works at the promotion of another instance than the known primary of a term, at the end of the term before:
// the platform has carried out another promote request at the end of that term, and may carry out this one, too.
func (g *Group) isAboutToEnd(term uint64) bool {
	var latest activeSeal // with the highest token
	for _, s := range g.seals {
		if s.Term+1 == term && s.isActive() && s.isOrderOpen() && s.Order.Token >= latest.Order.Token {
			latest = s
		}
	}
	return latest.Order.Instance != "" && g.lead.term == term && g.lead.instance != latest.Order.Instance
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
