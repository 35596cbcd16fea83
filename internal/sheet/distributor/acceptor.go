package distributor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/sheet/parser"
)

const (
	acceptDeadline   = 30 * time.Second // of Accept with all repeats
	acceptFirstDelay = 100 * time.Millisecond
	acceptMaxDelay   = 3 * time.Second
	pageSize         = 200 // records
)

// Store is what the acceptor needs of the platform.
type Store interface {
	Source
	Apply(ctx context.Context, t client.Transaction) (client.Rows, error)
}

// Acceptor accepts sheets and lists the audit records.
type Acceptor struct {
	store Store
}

// NewAcceptor returns an acceptor on a store.
func NewAcceptor(s Store) *Acceptor { return &Acceptor{store: s} }

// Current returns the sheet in force and its version, 0 when there is none yet.
func (a *Acceptor) Current(ctx context.Context) (uint64, parser.Sheet, error) {
	return readCurrent(ctx, a.store)
}

// Accept puts a sheet in force if base is the version in force. A repeat with
// the same change identity returns the record of the first one. The error is a
// Conflict when another change came first, of kind keyReuse when the identity
// belongs to another change, and of kind platformUnavailable when it is unknown
// whether the sheet was accepted; a repeat with the same identity then tells.
func (a *Acceptor) Accept(ctx context.Context, who, identity string, base uint64, s parser.Sheet) (Record, error) {
	if who == "" || identity == "" {
		return Record{}, classifier.New(classifier.Invalid, "accept: who %q or change identity %q is empty", who, identity)
	}
	if err := s.Check(); err != nil {
		return Record{}, err
	}
	body, err := json.Marshal(s)
	if err != nil {
		return Record{}, classifier.Wrap(classifier.Invalid, err, "accept")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptDeadline)
	defer cancel()
	p := proposal{who: who, identity: identity, base: base, sheet: s, body: body}
	r, err := backoff.Retry(ctx, func() (Record, error) { return a.try(ctx, p) }, backoff.WithBackOff(acceptBackOff()))
	switch classifier.KindOf(err) {
	case classifier.PlatformUnavailable, classifier.Timeout, classifier.Canceled:
		err = classifier.Wrap(classifier.PlatformUnavailable, err, "accept: change %s may or may not be accepted", identity)
	}
	return r, err
}

func acceptBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = acceptFirstDelay
	b.MaxInterval = acceptMaxDelay
	return b
}

// proposal is a change on its way into the store.
type proposal struct {
	who, identity string
	base          uint64
	sheet         parser.Sheet
	body          []byte
}

// try makes one attempt. Only errors of kind platformUnavailable may be repeated.
func (a *Acceptor) try(ctx context.Context, p proposal) (Record, error) {
	r, found, err := a.lookUp(ctx, p)
	if err == nil && !found {
		r, err = a.propose(ctx, p)
	}
	if err != nil && !classifier.Is(err, classifier.PlatformUnavailable) {
		err = backoff.Permanent(err)
	}
	return r, err
}

func (a *Acceptor) propose(ctx context.Context, p proposal) (Record, error) {
	version, current, err := a.Current(ctx)
	if err != nil {
		return Record{}, err
	}
	if version != p.base {
		return Record{}, a.conflict(ctx, p, version, current)
	}
	if err := current.CheckStep(p.sheet); err != nil {
		return Record{}, err
	}
	r := Record{Version: p.base + 1, When: time.Now().UTC(), Who: p.who, Change: p.identity, Base: p.base, Diff: parser.Diff(current, p.sheet)}
	t, err := transaction(p, r)
	if err != nil {
		return Record{}, err
	}
	_, err = a.store.Apply(ctx, t)
	if !classifier.Is(err, classifier.Conflict) {
		return r, err
	}
	// The conflict may be with an earlier attempt of this same change.
	if r, found, err := a.lookUp(ctx, p); err != nil || found {
		return r, err
	}
	if version, current, err = a.Current(ctx); err != nil {
		return Record{}, err
	}
	return Record{}, a.conflict(ctx, p, version, current)
}

func transaction(p proposal, r Record) (client.Transaction, error) {
	audit, err := json.Marshal(r)
	if err != nil {
		return client.Transaction{}, classifier.Wrap(classifier.Internal, err, "audit record")
	}
	row, err := json.Marshal(change{Version: r.Version, Digest: digest(p.base, p.body)})
	if err != nil {
		return client.Transaction{}, classifier.Wrap(classifier.Internal, err, "change row")
	}
	return client.Transaction{Writes: []client.Write{
		{Table: sheetTable, Key: currentKey, Expected: p.base, Value: p.body},
		{Table: changeTable, Key: p.identity, Value: row},
		{Table: auditTable, Key: auditKey(r.Version), Value: audit},
	}}, nil
}

// lookUp returns the record of the proposal's change identity, if it was accepted.
func (a *Acceptor) lookUp(ctx context.Context, p proposal) (Record, bool, error) {
	row, err := a.store.Read(ctx, changeTable, p.identity)
	if err != nil || row.Version == 0 {
		return Record{}, false, err
	}
	var c change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Record{}, false, classifier.Wrap(classifier.Internal, err, "change %s", p.identity)
	}
	if c.Digest != digest(p.base, p.body) {
		return Record{}, false, classifier.New(classifier.KeyReuse, "accept: change identity %s belongs to version %d", p.identity, c.Version)
	}
	list, err := a.Records(ctx, c.Version, c.Version)
	if err != nil {
		return Record{}, false, err
	}
	list[0].Repeated = true
	return list[0], true, nil
}

// conflict returns a Conflict, or the error that kept it from being made.
func (a *Acceptor) conflict(ctx context.Context, p proposal, version uint64, current parser.Sheet) error {
	c := &Conflict{Base: p.base, Current: version, Diff: parser.Diff(current, p.sheet)}
	if p.base >= version {
		return c
	}
	var err error
	if c.Since, err = a.Records(ctx, max(p.base+1, version-min(version, pageSize)+1), version); err != nil {
		return err
	}
	return c
}

// Records returns the audit records of all versions from first to last. It is
// an error when one is missing.
func (a *Acceptor) Records(ctx context.Context, first, last uint64) ([]Record, error) {
	var list []Record
	for next := first; next <= last; {
		rows, err := a.store.List(ctx, client.Range{Table: auditTable, From: auditKey(next), To: auditKey(last + 1), Limit: pageSize})
		if err != nil {
			return nil, err
		}
		for _, row := range rows.Rows {
			r, err := decodeRecord(row, next)
			if err != nil {
				return nil, err
			}
			list = append(list, r)
			next++
		}
		if len(rows.Rows) == 0 {
			return nil, classifier.New(classifier.Internal, "audit: record of version %d is missing", next)
		}
	}
	return list, nil
}

func decodeRecord(row client.Row, want uint64) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, classifier.Wrap(classifier.Internal, err, "audit record %s", row.Key)
	}
	if r.Version != want || row.Key != auditKey(want) {
		return r, classifier.New(classifier.Internal, "audit: record %s of version %d where version %d was expected", row.Key, r.Version, want)
	}
	return r, nil
}
