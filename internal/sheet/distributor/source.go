package distributor

import (
	"context"
	"encoding/json"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/sheet/parser"
)

// Source is what a reader of sheets needs of the platform.
type Source interface {
	Read(ctx context.Context, table, key string) (client.Row, error)
	List(ctx context.Context, rg client.Range) (client.Rows, error)
}

func readCurrent(ctx context.Context, s Source) (uint64, parser.Sheet, error) {
	row, err := s.Read(ctx, sheetTable, currentKey)
	if err != nil || row.Version == 0 {
		return 0, parser.Sheet{}, err
	}
	sheet, err := decodeWhole(row.Value)
	return row.Version, sheet, err
}

// decodeWhole decodes a sheet of the store or a peer. It ignores unknown
// fields, so that a VM of an older release still gets the sheet.
func decodeWhole(b []byte) (parser.Sheet, error) {
	var s parser.Sheet
	if err := json.Unmarshal(b, &s); err != nil {
		return s, classifier.Wrap(classifier.Invalid, err, "sheet")
	}
	return s, s.Check()
}

// poll brings the distributor up to the store's version.
func (d *Distributor) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	version, _, ok := d.Current()
	if !ok {
		return d.pollWhole(ctx)
	}
	rows, err := d.cfg.Store.List(ctx, client.Range{Table: auditTable, From: auditKey(version + 1), Limit: maxChanges})
	if err != nil {
		return err
	}
	if rows.More {
		return d.pollWhole(ctx)
	}
	for _, row := range rows.Rows {
		version++
		r, err := decodeRecord(row, version)
		if err != nil || d.change(version, r.Diff) != nil {
			return d.pollWhole(ctx)
		}
	}
	return nil
}

func (d *Distributor) pollWhole(ctx context.Context) error {
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
