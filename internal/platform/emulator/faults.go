package emulator

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"parsleyscale/internal/platform/client"
)

// Limits of the platform that the stand-in has by default.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Faults are the faults in force. The zero value has none, and the default limits.
type Faults struct {
	Out             bool        `json:"out,omitempty"`     // refuse every request of the services
	DelayMs         int         `json:"delayMs,omitempty"` // before each action
	WritesPerSecond int         `json:"writesPerSecond,omitempty"`
	ReadsPerSecond  int         `json:"readsPerSecond,omitempty"`
	LoseAnswers     int         `json:"loseAnswers,omitempty"` // of the next writes, after they took effect
	ExtraVMs        []client.VM `json:"extraVMs,omitempty"`    // listed but not running
	HiddenVMs       []string    `json:"hiddenVMs,omitempty"`   // running but not listed
}

// UnmarshalJSON decodes and checks faults.
func (f *Faults) UnmarshalJSON(b []byte) error {
	type plain Faults
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.DelayMs < 0 || p.WritesPerSecond < 0 || p.ReadsPerSecond < 0 || p.LoseAnswers < 0 {
		return fmt.Errorf("faults: a number is negative in %s", b)
	}
	*f = Faults(p)
	return nil
}

// gate applies the faults to requests.
type gate struct {
	mu     sync.Mutex
	f      Faults
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newGate() *gate {
	g := &gate{}
	g.set(Faults{})
	return g
}

func (g *gate) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.f = f
	g.writes = newLimiter(f.WritesPerSecond, DefaultWritesPerSecond)
	g.reads = newLimiter(f.ReadsPerSecond, DefaultReadsPerSecond)
}

// newLimiter allows bursts of half a second's requests.
func newLimiter(n, otherwise int) *rate.Limiter {
	if n == 0 {
		n = otherwise
	}
	return rate.NewLimiter(rate.Limit(n), max(1, n/2))
}

func (g *gate) faults() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.f
}

func (g *gate) delay() time.Duration { return time.Duration(g.faults().DelayMs) * time.Millisecond }

func (g *gate) allow(write bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if write {
		return g.writes.Allow()
	}
	return g.reads.Allow()
}

// lose reports whether the answer of this write is lost.
func (g *gate) lose() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.f.LoseAnswers == 0 {
		return false
	}
	g.f.LoseAnswers--
	return true
}
