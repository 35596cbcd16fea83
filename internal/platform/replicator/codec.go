package replicator

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"errors"
	"fmt"
	"io"

	"parsleyscale/internal/platform/follower"
)

// maxDecodedBytes bounds the uncompressed size of an answer of another VM.
const maxDecodedBytes = 16 << 20

// page is the answer of a VM to another one. It is sent as gob, whose encoding contains the names of the exported
// fields, so they cannot be renamed. Large pages are compressed, because most of the traffic between VMs is copies
// of the configuration, and small VMs have slow links.
type page struct {
	Rows    []follower.Row
	Version uint64
	// IsConfirmed is set for ConfirmPath only: the store has answered since the request.
	IsConfirmed bool
	// IsIncomplete is set for ConfirmPath only: the store has answered, but was restored, and its table may lack rows.
	IsIncomplete bool
	IsWhole      bool // Rows is the whole table, because the missing changes are no longer kept; set for ChangesPath only
	// Era is that of Version and of the versions of Rows, which are numbers of the store. VMs that don't know it have era 0.
	Era     uint64
	Gap     uint64         // of the follower's page; 0 if it is of an earlier era
	InForce []follower.Row // the row of InForce, if the requesting VM has an older one; it has no version of the store
}

// newPage returns the wire form of a page, whose rows are of one era.
func newPage(p follower.Page) page {
	next := page{Rows: p.Rows, Version: follower.NumberOf(p.Version), Era: follower.EraOf(p.Version)}
	if follower.EraOf(p.Gap) == next.Era {
		next.Gap = follower.NumberOf(p.Gap)
	}
	if next.Era > 0 {
		next.Rows = make([]follower.Row, len(p.Rows))
		for k, r := range p.Rows {
			r.Version = follower.NumberOf(r.Version)
			next.Rows[k] = r
		}
	}
	return next
}

func (p page) followerPage() follower.Page {
	rows := p.Rows
	if p.Era > 0 {
		rows = make([]follower.Row, len(p.Rows))
		for k, r := range p.Rows {
			r.Version = follower.VersionAt(p.Era, r.Version)
			rows[k] = r
		}
	}
	next := follower.Page{Version: follower.VersionAt(p.Era, p.Version), Rows: rows}
	if p.Gap > 0 {
		next.Gap = follower.VersionAt(p.Era, p.Gap)
	}
	return next
}

const (
	// formatPlain and formatGzip are the values of the first byte of an answer. They tell how the rest is encoded.
	formatPlain = 0
	formatGzip  = 1
	// minCompressBytes is the size from which an answer is compressed. Smaller ones, such as one changed entry of
	// the registry, are not worth the compression.
	minCompressBytes = 2 << 10
)

// encode returns the wire format of a page, or of a map of pages by table.
func encode(v any) ([]byte, error) {
	var plain bytes.Buffer
	plain.WriteByte(formatPlain)
	if err := gob.NewEncoder(&plain).Encode(v); err != nil || plain.Len() < minCompressBytes {
		return plain.Bytes(), err
	}
	var compressed bytes.Buffer
	compressed.WriteByte(formatGzip)
	zw, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	_, err = zw.Write(plain.Bytes()[1:])
	err = errors.Join(err, zw.Close())
	return compressed.Bytes(), err
}

// decode reads the wire format into v. It fails if the answer is truncated, has trailing bytes or is too large.
func decode(r io.Reader, v any) error {
	var format [1]byte
	if _, err := io.ReadFull(r, format[:]); err != nil {
		return err
	}
	switch format[0] {
	case formatPlain:
	case formatGzip:
		zr, err := gzip.NewReader(r)
		if err != nil {
			return err
		}
		r = zr
	default:
		return fmt.Errorf("answer has unknown format byte %d", format[0])
	}
	b, err := io.ReadAll(io.LimitReader(r, maxDecodedBytes))
	if err != nil {
		return err
	}
	body := bytes.NewReader(b)
	if err := gob.NewDecoder(body).Decode(v); err != nil {
		return err
	}
	if body.Len() > 0 {
		return fmt.Errorf("answer has %d trailing bytes after the page", body.Len())
	}
	return nil
}
