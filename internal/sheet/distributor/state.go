package distributor

import (
	"encoding/json"
	"sync"

	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/sheet/parser"
)

const (
	// maxKeptChanges limits the latest changes kept for peers and the audit records read in one poll.
	// VMs that are further behind fetch the full sheet.
	maxKeptChanges = 64
	// maxKeptChangeBytes limits the encoded size of the kept changes.
	maxKeptChangeBytes = 1 << 20
)

// state holds the current sheet and the latest changes that led to it. Its version never decreases.
type state struct {
	mu             sync.RWMutex // an RWMutex because every unit of work reads the sheet
	version        uint64
	sheet          parser.Sheet
	changed        chan struct{} // closed when the version next changes
	changeLog      [][]byte      // encoded changes that lead from version-len(changeLog) to version
	changeLogBytes int           // total length of the changes in changeLog
	encoded        []byte        // the sheet as JSON, encoded on first use; nil before
}

func (s *state) current() (uint64, parser.Sheet, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version, s.sheet, s.changed
}

// replace installs a full sheet if it is newer, and reports whether it did.
func (s *state) replace(version uint64, sheet parser.Sheet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.version {
		return false
	}
	s.changeLog, s.changeLogBytes = nil, 0
	s.setLocked(version, sheet)
	return true
}

// advance installs the sheet that change leads to and keeps the change for peers. It
// reports whether it did: it ignores any version but the next one.
func (s *state) advance(version uint64, sheet parser.Sheet, change []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != s.version+1 {
		return false
	}
	s.changeLog = append(s.changeLog, change)
	s.changeLogBytes += len(change)
	for len(s.changeLog) > maxKeptChanges || s.changeLogBytes > maxKeptChangeBytes {
		s.changeLogBytes -= len(s.changeLog[0])
		s.changeLog = s.changeLog[1:]
	}
	s.setLocked(version, sheet)
	return true
}

// setLocked installs a sheet and wakes the waiters. The caller holds s.mu.
func (s *state) setLocked(version uint64, sheet parser.Sheet) {
	s.version, s.sheet, s.encoded = version, sheet.Indexed(), nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// response returns the changes after the given version, or the full sheet if changeLog
// does not reach back that far. It holds neither if version is current or newer.
func (s *state) response(version uint64) (*messenger.WatchSheetResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &messenger.WatchSheetResponse{Version: s.version}
	if version >= s.version {
		return r, nil
	}
	if missing := s.version - version; missing <= uint64(len(s.changeLog)) {
		r.Changes = append(r.Changes, s.changeLog[len(s.changeLog)-int(missing):]...)
		return r, nil
	}
	if s.encoded == nil {
		b, err := json.Marshal(s.sheet)
		if err != nil {
			return nil, err
		}
		s.encoded = b
	}
	r.Whole = s.encoded
	return r, nil
}
