package distributor

import (
	"context"
	"encoding/json"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/sheet/parser"
)

// StoreReader provides read access to the platform's store.
type StoreReader interface {
	Read(ctx context.Context, table, key string) (client.Row, error)
	List(ctx context.Context, keys client.Range) (client.Rows, error)
}

// readCurrent returns the current version and sheet of a store, and version 0 if there is none.
func readCurrent(ctx context.Context, s StoreReader) (uint64, parser.Sheet, error) {
	row, err := s.Read(ctx, sheetTable, currentKey)
	if err != nil || row.Version == 0 {
		return 0, parser.Sheet{}, err
	}
	sheet, err := decodeSheet(row.Value)
	return row.Version, sheet, err
}

// decodeSheet decodes and checks a full sheet from the store or a peer. It ignores
// unknown fields, so that a VM of an older release can use the sheet of a newer one.
func decodeSheet(b []byte) (parser.Sheet, error) {
	var s parser.Sheet
	if err := json.Unmarshal(b, &s); err != nil {
		return s, classifier.Wrap(classifier.Invalid, err, "decode sheet")
	}
	return s, s.Check()
}

// poll updates the VM to the store's current version, by the audit records newer than
// its own version where possible, and otherwise by the full sheet.
func (d *Distributor) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	version, _, ok := d.Current()
	if !ok {
		return d.pollFullSheet(ctx)
	}
	rows, err := d.cfg.Store.List(ctx, client.Range{Table: auditTable, From: auditKey(version + 1), Limit: maxKeptChanges})
	if err != nil {
		return err
	}
	if rows.More {
		return d.pollFullSheet(ctx)
	}
	for _, row := range rows.Rows {
		version++
		r, err := decodeRecord(row, version)
		if err != nil || d.applyChange(version, r.Diff) != nil {
			return d.pollFullSheet(ctx)
		}
	}
	return nil
}

// pollFullSheet reads the full sheet from the store.
func (d *Distributor) pollFullSheet(ctx context.Context) error {
	version, sheet, err := readCurrent(ctx, d.cfg.Store)
	if err != nil {
		return err
	}
	if version == 0 {
		return classifier.New(classifier.NotReady, "the store holds no sheet")
	}
	d.replace(version, sheet)
	return nil
}
