package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"parsleyscale/internal/session/tokenizer"
)

// maxReadBytes bounds the entries that one read of the log returns. Two hundred
// kilobytes cross a link of 30 Mbit/s well within the read deadline of a replica.
const maxReadBytes = 200 << 10

// entry is one committed write transaction. An entry without statements marks the start of a term.
type entry struct {
	Term       uint64   `json:"t"`
	Index      uint64   `json:"i"`
	Now        string   `json:"now,omitempty"`
	Statements []record `json:"s,omitempty"`
}

// record is one statement with its parameters.
type record struct {
	SQL  string `json:"q"`
	Args []arg  `json:"a,omitempty"`
}

func (e entry) position() tokenizer.Position {
	return tokenizer.Position{Term: e.Term, Index: e.Index}
}

// changesSchema reports whether a statement of the entry changes the schema.
func (e entry) changesSchema() bool {
	return slices.ContainsFunc(e.Statements, func(r record) bool { return isSchemaChange(r.SQL) })
}

// entryLog is an append-only file of entries, one JSON line each. The index of
// the first entry is 1 and there are no gaps. It is not safe for concurrent use.
type entryLog struct {
	file  *os.File
	ends  []int64  // ends[i] is the offset after entry i+1
	terms []uint64 // terms[i] is the term of entry i+1
}

// openLog reads the log at path and drops an incomplete last line, which a
// process that ended during an append leaves behind.
func openLog(path string) (*entryLog, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	l := &entryLog{file: f}
	if err := l.scan(); err != nil {
		f.Close()
		return nil, fmt.Errorf("read log %s: %w", path, err)
	}
	if err := f.Truncate(l.end()); err != nil {
		f.Close()
		return nil, fmt.Errorf("cut log %s: %w", path, err)
	}
	return l, nil
}

func (l *entryLog) scan() error {
	r := bufio.NewReader(l.file)
	for {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var e entry
		if err := json.Unmarshal(line, &e); err != nil {
			return fmt.Errorf("entry %d: %w", len(l.ends)+1, err)
		}
		if e.Index != uint64(len(l.ends))+1 {
			return fmt.Errorf("entry %d has index %d", len(l.ends)+1, e.Index)
		}
		l.grow(e.Term, len(line))
	}
}

func (l *entryLog) grow(term uint64, size int) {
	l.ends = append(l.ends, l.end()+int64(size))
	l.terms = append(l.terms, term)
}

func (l *entryLog) end() int64 { return l.offset(uint64(len(l.ends))) }

// offset returns the offset after entry index.
func (l *entryLog) offset(index uint64) int64 {
	if index == 0 {
		return 0
	}
	return l.ends[index-1]
}

// last returns the position of the last entry.
func (l *entryLog) last() tokenizer.Position { return l.at(uint64(len(l.ends))) }

// at returns the position of an entry that the log holds; index 0 gives the zero position.
func (l *entryLog) at(index uint64) tokenizer.Position {
	if index == 0 {
		return tokenizer.Position{}
	}
	return tokenizer.Position{Term: l.terms[index-1], Index: index}
}

// holds reports whether the log holds the entry p.
func (l *entryLog) holds(p tokenizer.Position) bool {
	return p.Index <= uint64(len(l.ends)) && l.at(p.Index) == p
}

// before returns the last entry whose index is at most index and whose term is at most term.
func (l *entryLog) before(p tokenizer.Position) tokenizer.Position {
	i := min(p.Index, uint64(len(l.ends)))
	for i > 0 && l.terms[i-1] > p.Term {
		i--
	}
	return l.at(i)
}

// append writes entries given as JSON lines in one call.
func (l *entryLog) append(entries []entry, lines [][]byte) error {
	var buf []byte
	for _, line := range lines {
		buf = append(buf, line...)
	}
	if _, err := l.file.WriteAt(buf, l.end()); err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	for i, e := range entries {
		l.grow(e.Term, len(lines[i]))
	}
	return nil
}

// cut drops all entries after index.
func (l *entryLog) cut(index uint64) error {
	if err := l.file.Truncate(l.offset(index)); err != nil {
		return fmt.Errorf("cut log after %d: %w", index, err)
	}
	l.ends = l.ends[:index]
	l.terms = l.terms[:index]
	return nil
}

// read returns the lines of the entries after index, at least one and at most limit, up to maxReadBytes.
func (l *entryLog) read(index uint64, limit int) ([][]byte, error) {
	to := index
	for to < uint64(len(l.ends)) && to-index < uint64(limit) {
		to++
		if l.ends[to-1]-l.offset(index) > maxReadBytes {
			break
		}
	}
	buf := make([]byte, l.offset(to)-l.offset(index))
	if _, err := l.file.ReadAt(buf, l.offset(index)); err != nil {
		return nil, fmt.Errorf("read log after %d: %w", index, err)
	}
	lines := make([][]byte, 0, to-index)
	for i := index; i < to; i++ {
		from := l.offset(i) - l.offset(index)
		lines = append(lines, buf[from:l.offset(i+1)-l.offset(index)])
	}
	return lines, nil
}

func (l *entryLog) close() error { return l.file.Close() }

// decodeLines decodes entries from their lines.
func decodeLines(lines [][]byte) ([]entry, error) {
	entries := make([]entry, len(lines))
	for i, line := range lines {
		if err := json.Unmarshal(line, &entries[i]); err != nil {
			return nil, fmt.Errorf("decode entry: %w", err)
		}
	}
	return entries, nil
}

// encodeLine returns the line of an entry.
func encodeLine(e entry) ([]byte, error) {
	line, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode entry %s: %w", e.position(), err)
	}
	return append(line, '\n'), nil
}
