// Package claimer gives one VM at a time a lease to replace the primary of a database group, by a conditional
// write of the group's row in the store. The version of that write is the fencing token: it is unique, and
// higher than all earlier tokens.
//
// A claim expires, so that a VM that fails does not block the group for long. After that, its promote request may
// still be carried out. A VM therefore records the instance that it has chosen before it requests the promotion,
// and the record fails if another VM has claimed the group in the meantime. So either the VM with the later
// claim learns the earlier choice, or the VM with the earlier claim does not request a promotion.
//
// Where the platform checks the fencing tokens, it refuses a promote request that arrives after one of a later claim.
// When the store is restored from an older copy, claims and choices of the last seconds before are lost. A holder whose claim is of an
// earlier era of the store gets a conflict and claims the group anew, which writes the choice that it knows again. Other VMs learn
// that a choice may have been lost if they claim the group within restoreWindow, until one of them has waited for its promotion
// and recorded its own choice.
//
// Elsewhere, a claim stays open from the record of the choice until each promote request was answered, and the next
// term cannot be claimed before an open claim is so old that its requests cannot be carried out any more.
package claimer

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

const (
	// table is the store's table with one row per group.
	table = "claims"
	// claimTTL is how long a claim excludes other VMs. A replacement usually takes less than a second.
	claimTTL = 2 * time.Second
	// maxSwapAttempts limits the conditional writes of one Claim. After a restore, the first one fails without the present row.
	maxSwapAttempts = 4
	// restoreWindow is how long after a restore a promote request of a lost claim may still be sent or carried out: a replacement
	// and its requests end within 6 s, and on a platform that doesn't check tokens they are carried out for 10 s.
	restoreWindow = 10 * time.Second
	// UnfencedRequestLifetime is how long a promote request without an answer may still be carried out, where the platform
	// does not check its token.
	UnfencedRequestLifetime = 10 * time.Second
)

// Store writes rows conditionally.
type Store interface {
	// Swap writes a row if its present version is the given one, where zero stands for no row, and returns the
	// version of the write. Otherwise it returns the present row and an error of kind conflict.
	Swap(ctx context.Context, table, key string, value []byte, version uint64) (uint64, follower.Row, error)
}

// ClaimResult is the permission to replace the primary of a term.
type ClaimResult struct {
	FencingToken   uint64
	ChosenInstance string // instance for which an earlier attempt at this term may have sent a promote request; "" if none
	// IsFirst states that the store has no earlier claim on the term.
	IsFirst bool
	// ChoiceNumber is at least the number of the token of that request; zero if there is none.
	ChoiceNumber uint64
	// MayHaveLostChoice is set if the restored store may lack a claim on this term, with its choice. A promote request for that one may
	// have been sent.
	MayHaveLostChoice bool
	RestoredAt        time.Time // when this VM learned of the restore; valid if MayHaveLostChoice is set
}

// claim is the row of a group.
type claim struct {
	Holder         string `json:"holder"`           // VM that made the claim
	Term           uint64 `json:"term"`             // term whose primary is being replaced
	ChosenInstance string `json:"choice,omitempty"` // instance to promote
	Number         uint64 `json:"number,omitempty"` // version of the row in which the choice was recorded; zero: this one
	IsOpen         bool   `json:"open,omitempty"`   // a promote request for it may have been sent and not been answered
	Era            uint64 `json:"era,omitempty"`    // era of the store in which the holder knew that no earlier claim was missing

	version uint64    // of the row
	seenAt  time.Time // when this VM first saw or wrote this version
}

// Claimer claims groups for one VM.
type Claimer struct {
	store           Store
	self            string        // ID of the VM
	requestLifetime time.Duration // how long a promote request without an answer may still be carried out; 0: its token is checked

	mu     sync.Mutex
	latest map[string]claim // latest known claim, by group
	era    uint64           // latest known era of the store

	restoredEra uint64    // era of the latest restore since the start; zero: there was none
	restoredAt  time.Time // when this VM learned of it
}

// New returns a Claimer for the VM with the ID self. The request lifetime is how long a promote request without an answer
// may still be carried out, or 0 if the platform checks its token.
func New(s Store, self string, requestLifetime time.Duration) *Claimer {
	return &Claimer{store: s, self: self, requestLifetime: requestLifetime, latest: map[string]claim{}}
}

// RecordRestore records that the store has been restored and is in an era.
func (c *Claimer) RecordRestore(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.restoredEra {
		c.era, c.restoredEra, c.restoredAt = max(c.era, era), era, time.Now()
	}
}

// recordVersion records the era of a version of the store. Unless it is the first version that this VM sees, a later era than the
// known one is that of a restore.
func (c *Claimer) recordVersion(version uint64) {
	era := follower.EraOf(version)
	c.mu.Lock()
	isFirst, isLater := len(c.latest) == 0 && c.era == 0, era > c.era
	c.era = max(c.era, era)
	c.mu.Unlock()
	if isLater && !isFirst {
		c.RecordRestore(era)
	}
}

// isRestoreRecent reports whether promote requests of lost claims may still be carried out.
func (c *Claimer) isRestoreRecent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.restoredAt.IsZero() && time.Since(c.restoredAt) < max(restoreWindow, c.requestLifetime)
}

// eraOf returns the era of the version of a row, or the known era if there is no row.
func (c *Claimer) eraOf(version uint64) uint64 {
	if version != 0 {
		return follower.EraOf(version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// isLossPossible reports whether the store may have lost a claim that followed the latest known one.
func (c *Claimer) isLossPossible(latest claim) bool {
	c.mu.Lock()
	isWrittenSince := latest.Holder != "" && latest.Era >= c.era
	c.mu.Unlock()
	return !isWrittenSince && c.isRestoreRecent()
}

// Claim returns the permission for replacing the primary of a term. It fails with kind conflict while another VM has
// an unexpired claim on that term, after any claim on a later term, and while a promote request of an earlier term may
// still be carried out.
func (c *Claimer) Claim(ctx context.Context, group string, term uint64) (ClaimResult, error) {
	c.mu.Lock()
	latest := c.latest[group]
	c.mu.Unlock()
	for range maxSwapAttempts {
		if err := c.checkClaimable(group, latest, term); err != nil {
			return ClaimResult{}, err
		}
		isLossPossible := c.isLossPossible(latest)
		if isLossPossible && c.requestLifetime > 0 {
			return ClaimResult{}, classifier.New(classifier.Conflict, "group %s: the store was restored and may have lost a claim, whose promote request may still be carried out", group)
		}
		own := claim{Holder: c.self, Term: term, Era: latest.Era}
		if !isLossPossible {
			own.Era = c.eraOf(latest.version)
		}
		if latest.Term == term {
			own.ChosenInstance, own.IsOpen = latest.ChosenInstance, latest.IsOpen
		}
		if own.ChosenInstance != "" {
			own.Number = cmp.Or(latest.Number, latest.version)
		}
		token, row, err := c.swap(ctx, group, own, latest.version)
		switch {
		case err == nil:
			r := ClaimResult{FencingToken: token, ChosenInstance: own.ChosenInstance, ChoiceNumber: own.Number, IsFirst: latest.Term != term, MayHaveLostChoice: isLossPossible || c.isLossPossible(latest)}
			c.mu.Lock()
			r.RestoredAt = c.restoredAt
			c.mu.Unlock()
			return r, nil
		case !classifier.Is(err, classifier.Conflict):
			return ClaimResult{}, err
		}
		latest = c.cacheRow(group, row)
	}
	return ClaimResult{}, classifier.New(classifier.Conflict, "group %s: claim on term %d: the row changed before each of %d writes", group, term, maxSwapAttempts)
}

// checkClaimable returns an error of kind conflict if the latest claim does not allow this VM to claim a term.
func (c *Claimer) checkClaimable(group string, latest claim, term uint64) error {
	age := time.Since(latest.seenAt)
	switch {
	case latest.Holder == "":
		return nil
	case latest.Term > term:
		return classifier.New(classifier.Conflict, "group %s: VM %s has claimed the later term %d", group, latest.Holder, latest.Term)
	case latest.Term == term && latest.Holder != c.self && age < claimTTL:
		return classifier.New(classifier.Conflict, "group %s: VM %s is already replacing the primary of term %d", group, latest.Holder, latest.Term)
	case latest.Term < term && latest.IsOpen && age < c.requestLifetime:
		return classifier.New(classifier.Conflict, "group %s: the request to promote %s in place of the primary of term %d may still be carried out", group, latest.ChosenInstance, latest.Term)
	}
	return nil
}

// Record records the instance that will be promoted, and returns the fencing token for the promote request. It
// fails with kind conflict if another VM has claimed the group since token was issued.
func (c *Claimer) Record(ctx context.Context, group string, term, token uint64, chosenInstance string) (uint64, error) {
	newToken, row, err := c.swap(ctx, group, claim{Holder: c.self, Term: term, ChosenInstance: chosenInstance, IsOpen: c.requestLifetime > 0, Era: follower.EraOf(token)}, token)
	if classifier.Is(err, classifier.Conflict) {
		c.cacheRow(group, row)
	}
	return newToken, err
}

// Withdraw records that the instance chosen with the given token will not be promoted, so that another attempt at the term
// may choose otherwise. No promote request for it may be outstanding.
func (c *Claimer) Withdraw(ctx context.Context, group string, term, token uint64) error {
	_, _, err := c.swap(ctx, group, claim{Holder: c.self, Term: term, Era: follower.EraOf(token)}, token)
	return err
}

// Settle records that each promote request of the claim with the given token was answered. Where the platform checks the
// tokens, it does nothing.
func (c *Claimer) Settle(ctx context.Context, group string, term, token uint64, chosenInstance string) error {
	if c.requestLifetime == 0 {
		return nil
	}
	_, _, err := c.swap(ctx, group, claim{Holder: c.self, Term: term, ChosenInstance: chosenInstance, Era: follower.EraOf(token)}, token)
	return err
}

// swap replaces the given version of the group's row, and caches the new claim.
func (c *Claimer) swap(ctx context.Context, group string, next claim, version uint64) (uint64, follower.Row, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, follower.Row{}, err
	}
	token, row, err := c.store.Swap(ctx, table, group, value, version)
	if err == nil {
		c.recordVersion(token)
		next.version, next.seenAt = token, time.Now()
		c.cache(group, next)
	}
	return token, row, err
}

// cacheRow decodes and caches the present row of a group. If the store was restored, the row may be older than the claim that
// the VM knows, which then stands, with the version of the row.
func (c *Claimer) cacheRow(group string, row follower.Row) claim {
	if row.Version != 0 {
		c.recordVersion(row.Version)
	}
	next := claim{version: row.Version, seenAt: time.Now()}
	if err := json.Unmarshal(row.Value, &next); err != nil {
		next.Holder = "" // a row in another format, as of another software version, excludes nobody
	}
	c.mu.Lock()
	old, era := c.latest[group], c.era
	c.mu.Unlock()
	isOlder := next.Term < old.Term || next.Term == old.Term && next.ChosenInstance == ""
	isOlder = isOlder && old.Era < era && next.Era < era
	if old.Holder != "" && (row.Version == 0 || isOlder) {
		old.version = row.Version
		next = old
	}
	return c.cache(group, next)
}

// cache stores the latest claim on a group and returns it. A claim expires claimTTL after this VM first saw
// it, so a version that is known already keeps its time.
func (c *Claimer) cache(group string, next claim) claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.latest[group]; old.version == next.version {
		next.seenAt = old.seenAt
	}
	c.latest[group] = next
	return next
}
