package distributor

import (
	"encoding/json"
	"sync"

	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/sheet/parser"
)

const (
	maxChanges  = 64      // differences kept for peers, and read in one poll
	maxLogBytes = 1 << 20 // of the differences kept
)

// state is the sheet in force with the differences that led to it. Its version only rises.
type state struct {
	mu      sync.RWMutex // each unit of work reads the sheet
	version uint64
	sheet   parser.Sheet
	changed chan struct{}
	log     [][]byte // differences from version-len(log) to version
	bytes   int      // of log
	whole   []byte   // encoded sheet, made at the first need
}

func (s *state) current() (uint64, parser.Sheet, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version, s.sheet, s.changed
}

// replace puts a whole sheet in force if it is newer.
func (s *state) replace(version uint64, sheet parser.Sheet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.version {
		return false
	}
	s.log, s.bytes = nil, 0
	s.set(version, sheet)
	return true
}

// advance puts the next version in force.
func (s *state) advance(version uint64, sheet parser.Sheet, diff []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != s.version+1 {
		return false
	}
	s.log = append(s.log, diff)
	s.bytes += len(diff)
	for len(s.log) > maxChanges || s.bytes > maxLogBytes {
		s.bytes -= len(s.log[0])
		s.log = s.log[1:]
	}
	s.set(version, sheet)
	return true
}

func (s *state) set(version uint64, sheet parser.Sheet) {
	s.version, s.sheet, s.whole = version, sheet.Indexed(), nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer returns what a peer with a version lacks.
func (s *state) answer(version uint64) (*messenger.WatchSheetResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &messenger.WatchSheetResponse{Version: s.version}
	if version >= s.version {
		return r, nil
	}
	if missing := s.version - version; missing <= uint64(len(s.log)) {
		r.Changes = append(r.Changes, s.log[len(s.log)-int(missing):]...)
		return r, nil
	}
	if s.whole == nil {
		b, err := json.Marshal(s.sheet)
		if err != nil {
			return nil, err
		}
		s.whole = b
	}
	r.Whole = s.whole
	return r, nil
}
