package assembler

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/platform/follower"
)

const (
	// memberTable holds a row for each VM. Writing it gives the VM a token.
	memberTable = "vms"
	// firstMembers is the assumed number of VMs before the table was read.
	firstMembers = 8
	// settleTime lets VMs that start together enter themselves before the table is read.
	settleTime    = 1500 * time.Millisecond
	memberRefresh = 20 * time.Second
	memberTimeout = 2 * time.Second
	memberRetry   = time.Second
)

// member is a VM's row.
type member struct {
	DataCentre  string `json:"dataCentre"`
	PeerAddress string `json:"peerAddress"`
}

// members is the list of VMs as the store has it. It also gives out tokens.
type members struct {
	cfg    loader.LineSettings
	store  Store
	source follower.Source
	mu     sync.Mutex
	others []string // identities, this VM included
}

func startMembers(cfg loader.LineSettings, s Store, source follower.Source) *members {
	m := &members{cfg: cfg, store: s, source: source}
	go m.run()
	return m
}

// Next implements replacer.Tokens.
func (m *members) Next(ctx context.Context) (uint64, error) {
	b, err := json.Marshal(member{DataCentre: m.cfg.DataCentre, PeerAddress: m.cfg.PeerAddress})
	if err != nil {
		return 0, err
	}
	return m.store.Put(ctx, memberTable, m.cfg.ID, b)
}

func (m *members) run() {
	ctx := context.Background()
	pause := settleTime
	for sleeper.Sleep(ctx, pause) {
		pause = memberRefresh
		if err := m.refresh(ctx); err != nil {
			pause = memberRetry
		}
	}
}

func (m *members) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	p, err := m.store.Read(ctx, memberTable)
	if err != nil {
		return err
	}
	var ids []string
	for _, r := range p.Rows {
		ids = append(ids, r.Key)
	}
	if !slices.Contains(ids, m.cfg.ID) {
		ids = append(ids, m.cfg.ID)
	}
	m.mu.Lock()
	m.others = ids
	m.mu.Unlock()
	return nil
}

func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.others) == 0 {
		return firstMembers
	}
	return len(m.others)
}

// rank returns the place of this VM in an order of the VMs that differs from group to group.
func (m *members) rank(group string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := weight(m.cfg.ID, group)
	n := 0
	for _, id := range m.others {
		if weight(id, group) > own {
			n++
		}
	}
	return n
}

func weight(id, group string) uint64 { return xxhash.Sum64String(id + " " + group) }
