package assembler

import (
	"context"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/session/tokenizer"
)

const (
	// openSealsTimeout bounds the time in which a VM that starts reads the open seals of others. Until then, acknowledgements wait.
	openSealsTimeout = 500 * time.Millisecond
	// openSealsInterval is the time between two looks for the list of VMs.
	openSealsInterval = 10 * time.Millisecond
	// maxOpenSealSources bounds the VMs that are asked.
	maxOpenSealSources = 24
)

// readOpenSeals learns from other VMs which terms have been sealed before this VM started, and may end by a promote request that was sent.
func (v *VM) readOpenSeals() {
	defer close(v.openSealsRead)
	var addresses []string
	for end := time.Now().Add(openSealsTimeout); len(addresses) == 0; {
		if !time.Now().Before(end) {
			return
		}
		time.Sleep(openSealsInterval)
		addresses = v.members.peerAddresses()
	}
	for _, s := range v.sealer.ReadOpen(context.Background(), addresses[:min(len(addresses), maxOpenSealSources)]) {
		_ = v.groups.Group(s.Group).Seal(s.Seal) // a conflict means that a later one is known
	}
}

// acknowledge reports whether the acknowledgement of a commit may be passed on.
func (v *VM) acknowledge(g *registrar.Group, p tokenizer.Position) bool {
	<-v.openSealsRead
	if v.groupConfiguration(g.Name()).SyncReplicas == 0 {
		return g.Acknowledge(p)
	}
	return v.confirmer.Acknowledge(g, p)
}
