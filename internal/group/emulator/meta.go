package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

const metaFile = "meta.json"

// meta is the durable state of an instance besides log and rows.
type meta struct {
	Role       string `json:"role"`
	FenceTerm  uint64 `json:"fenceTerm"`
	Term       uint64 `json:"term"`                 // term at which the instance was promoted or follows
	Upstream   string `json:"upstream,omitempty"`   // address followed
	Generation uint64 `json:"generation,omitempty"` // number of the file with the rows
}

func loadMeta(dir string) (m meta, found bool, err error) {
	b, err := os.ReadFile(filepath.Join(dir, metaFile))
	if errors.Is(err, fs.ErrNotExist) {
		return meta{}, false, nil
	}
	if err != nil {
		return meta{}, false, err
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return meta{}, false, fmt.Errorf("read %s: %w", metaFile, err)
	}
	return m, true, nil
}

// save replaces the file in one step, so that a process that ends during the
// save leaves the old or the new state.
func (m meta) save(dir string) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, metaFile)
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return fmt.Errorf("save %s: %w", metaFile, err)
	}
	return os.Rename(path+".new", path)
}
