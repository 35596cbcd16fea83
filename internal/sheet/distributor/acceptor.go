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
	acceptTimeout        = 30 * time.Second       // of a call of Accept, with all retries
	acceptInitialBackoff = 100 * time.Millisecond // before the first retry
	acceptMaxBackoff     = 3 * time.Second        // before randomization
	auditPageSize        = 200                    // audit records read in one request or listed in a Conflict
)

// Store provides read access and conditional transactions on the platform's store.
type Store interface {
	StoreReader
	Apply(ctx context.Context, t client.Transaction) (client.Rows, error)
}

// Acceptor accepts new versions of the sheet and lists the audit records.
type Acceptor struct {
	store Store
}

// NewAcceptor returns an acceptor that uses the given store.
func NewAcceptor(s Store) *Acceptor { return &Acceptor{store: s} }

// Current returns the current version and sheet. The version is 0 if the store has none yet.
func (a *Acceptor) Current(ctx context.Context) (uint64, parser.Sheet, error) {
	return readCurrent(ctx, a.store)
}

// Accept stores a sheet as the next version if base is the current version. A retry
// with the same change ID returns the record of the accepted attempt. The error
// is a Conflict if base is not the current version, of kind keyReuse if the change
// identity was used for a different change, and of kind platformUnavailable if it is
// unknown whether the sheet was accepted; a retry with the same change ID then
// finds out.
func (a *Acceptor) Accept(ctx context.Context, operator, changeID string, base uint64, s parser.Sheet) (Record, error) {
	if operator == "" || changeID == "" {
		return Record{}, classifier.New(classifier.Invalid, "accept: operator %q and change identity %q must not be empty", operator, changeID)
	}
	if err := s.Check(); err != nil {
		return Record{}, err
	}
	sheetJSON, err := json.Marshal(s)
	if err != nil {
		return Record{}, classifier.Wrap(classifier.Invalid, err, "accept: encode sheet")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	p := proposal{operator: operator, changeID: changeID, base: base, sheet: s, sheetJSON: sheetJSON}
	r, err := backoff.Retry(ctx, func() (Record, error) { return a.attempt(ctx, p) }, backoff.WithBackOff(newAcceptBackoff()))
	switch classifier.KindOf(err) {
	case classifier.PlatformUnavailable, classifier.Timeout, classifier.Canceled:
		err = classifier.Wrap(classifier.PlatformUnavailable, err, "accept: change %s may or may not be accepted", changeID)
	}
	return r, err
}

// newAcceptBackoff returns the backoff between the attempts of a call of Accept.
func newAcceptBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = acceptInitialBackoff
	b.MaxInterval = acceptMaxBackoff
	return b
}

// proposal is a change that is to be accepted.
type proposal struct {
	operator, changeID string
	base               uint64
	sheet              parser.Sheet
	sheetJSON          []byte
}

// attempt makes one attempt to accept a proposal. It marks all errors but those of kind
// platformUnavailable as permanent, so that they are not retried.
func (a *Acceptor) attempt(ctx context.Context, p proposal) (Record, error) {
	r, found, err := a.findAccepted(ctx, p)
	if err == nil && !found {
		r, err = a.propose(ctx, p)
	}
	if err != nil && !classifier.Is(err, classifier.PlatformUnavailable) {
		err = backoff.Permanent(err)
	}
	return r, err
}

// propose writes a proposal to the store unless its base version is out of date or a
// check fails.
func (a *Acceptor) propose(ctx context.Context, p proposal) (Record, error) {
	version, current, err := a.Current(ctx)
	if err != nil {
		return Record{}, err
	}
	if version != p.base {
		return Record{}, a.conflictError(ctx, p, version, current)
	}
	if err := current.CheckTransition(p.sheet); err != nil {
		return Record{}, err
	}
	r := Record{Version: p.base + 1, AcceptedAt: time.Now().UTC(), Operator: p.operator, ChangeID: p.changeID, BaseVersion: p.base, Diff: parser.Diff(current, p.sheet)}
	tx, err := acceptTransaction(p, r)
	if err != nil {
		return Record{}, err
	}
	_, err = a.store.Apply(ctx, tx)
	if !classifier.Is(err, classifier.Conflict) {
		return r, err
	}
	// An earlier attempt whose response was lost may have accepted this change.
	if r, found, err := a.findAccepted(ctx, p); err != nil || found {
		return r, err
	}
	if version, current, err = a.Current(ctx); err != nil {
		return Record{}, err
	}
	return Record{}, a.conflictError(ctx, p, version, current)
}

// acceptTransaction returns the transaction that accepts a proposal. It fails in the
// store if base is not the current version or the change ID is in use.
func acceptTransaction(p proposal, r Record) (client.Transaction, error) {
	audit, err := json.Marshal(r)
	if err != nil {
		return client.Transaction{}, classifier.Wrap(classifier.Internal, err, "encode audit record")
	}
	row, err := json.Marshal(changeRow{Version: r.Version, Digest: digest(p.base, p.sheetJSON)})
	if err != nil {
		return client.Transaction{}, classifier.Wrap(classifier.Internal, err, "encode change row")
	}
	return client.Transaction{Writes: []client.Write{
		{Table: sheetTable, Key: currentKey, ExpectedVersion: p.base, Value: p.sheetJSON},
		{Table: changeTable, Key: p.changeID, Value: row},
		{Table: auditTable, Key: auditKey(r.Version), Value: audit},
	}}, nil
}

// findAccepted returns the record of a proposal that an earlier attempt accepted, and
// reports whether there is one.
func (a *Acceptor) findAccepted(ctx context.Context, p proposal) (Record, bool, error) {
	row, err := a.store.Read(ctx, changeTable, p.changeID)
	if err != nil || row.Version == 0 {
		return Record{}, false, err
	}
	var c changeRow
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Record{}, false, classifier.Wrap(classifier.Internal, err, "decode row of change identity %s", p.changeID)
	}
	if c.Digest != digest(p.base, p.sheetJSON) {
		return Record{}, false, classifier.New(classifier.KeyReuse, "accept: change identity %s belongs to version %d", p.changeID, c.Version)
	}
	records, err := a.Records(ctx, c.Version, c.Version)
	if err != nil {
		return Record{}, false, err
	}
	records[0].AlreadyAccepted = true
	return records[0], true, nil
}

// conflictError returns a Conflict with the audit records since the base version, at
// most the latest auditPageSize, or the error of reading them.
func (a *Acceptor) conflictError(ctx context.Context, p proposal, version uint64, current parser.Sheet) error {
	c := &Conflict{BaseVersion: p.base, CurrentVersion: version, Diff: parser.Diff(current, p.sheet)}
	if p.base >= version {
		return c
	}
	var err error
	if c.AcceptedSince, err = a.Records(ctx, max(p.base+1, version-min(version, auditPageSize)+1), version); err != nil {
		return err
	}
	return c
}

// Records returns the audit records of all versions from first to last. It fails if
// one of them is missing.
func (a *Acceptor) Records(ctx context.Context, first, last uint64) ([]Record, error) {
	var records []Record
	for next := first; next <= last; {
		rows, err := a.store.List(ctx, client.Range{Table: auditTable, From: auditKey(next), To: auditKey(last + 1), Limit: auditPageSize})
		if err != nil {
			return nil, err
		}
		for _, row := range rows.Rows {
			r, err := decodeRecord(row, next)
			if err != nil {
				return nil, err
			}
			records = append(records, r)
			next++
		}
		if len(rows.Rows) == 0 {
			return nil, classifier.New(classifier.Internal, "audit record of version %d is missing", next)
		}
	}
	return records, nil
}

// decodeRecord decodes an audit record and checks that it is the one of wantVersion.
func decodeRecord(row client.Row, wantVersion uint64) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, classifier.Wrap(classifier.Internal, err, "decode audit record %s", row.Key)
	}
	if r.Version != wantVersion || row.Key != auditKey(wantVersion) {
		return r, classifier.New(classifier.Internal, "audit record %s has version %d, expected version %d", row.Key, r.Version, wantVersion)
	}
	return r, nil
}
