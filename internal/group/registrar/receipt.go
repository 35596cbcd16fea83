package registrar

import "parsleyscale/internal/session/tokenizer"

// NeedsReceipt reports whether the choice of a new primary may depend on the acknowledgement of a commit, since a replica that this VM does not know may
// have been counted for it, and no replica that it knows is known to have received the log up to p.
func (g *Group) NeedsReceipt(p tokenizer.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return (g.assumption.needsReceipts(g.clock()) || g.departure.mayReceive()) && !g.isReceived(p)
}

// Replicas returns the known instances that count for NeedsReceipt, in no particular order.
func (g *Group) Replicas() []View {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []View
	for _, s := range g.instances {
		if g.isReplica(s) {
			list = append(list, s.View)
		}
	}
	return list
}

// RecordReceipt records that a replica has received the log up to p.
func (g *Group) RecordReceipt(id string, p tokenizer.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.instances[id]; ok {
		s.received = s.received.Max(p)
	}
}

// isReplica reports whether an instance is a replica that has a registry entry and stays.
func (g *Group) isReplica(s *instanceState) bool {
	return s.ID != g.primary.Instance && s.ID != g.latestPrimary && s.missingAt.IsZero() && !s.IsLeaving
}

// isReceived reports whether a replica is known to have received the log of a term up to p.
func (g *Group) isReceived(p tokenizer.Position) bool {
	for _, s := range g.instances {
		if held := s.received.Max(s.Position); g.isReplica(s) && held.Term == p.Term && held.Covers(p) {
			return true
		}
	}
	return false
}
