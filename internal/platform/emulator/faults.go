package emulator

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"parsleyscale/internal/platform/client"
)

// Rate limits that apply where Faults has none.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Faults describes the faults to inject. The zero value stands for no faults and the default rate limits.
type Faults struct {
	Out             bool        `json:"out,omitempty"`     // answer every request to the services with status 503
	DelayMs         int         `json:"delayMs,omitempty"` // before each action
	WritesPerSecond int         `json:"writesPerSecond,omitempty"`
	ReadsPerSecond  int         `json:"readsPerSecond,omitempty"`
	LoseAnswers     int         `json:"loseAnswers,omitempty"` // number of writes that take effect but get no response
	ExtraVMs        []client.VM `json:"extraVMs,omitempty"`    // listed but not running
	HiddenVMs       []string    `json:"hiddenVMs,omitempty"`   // running but not listed
}

// UnmarshalJSON decodes faults. It fails if a number is negative.
func (f *Faults) UnmarshalJSON(b []byte) error {
	type plain Faults // without this method
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	if p.DelayMs < 0 || p.WritesPerSecond < 0 || p.ReadsPerSecond < 0 || p.LoseAnswers < 0 {
		return fmt.Errorf("faults: negative number in %s", b)
	}
	*f = Faults(p)
	return nil
}

// injector holds the faults in force and decides which of them a request meets.
type injector struct {
	mu     sync.Mutex
	active Faults
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newInjector() *injector {
	i := &injector{}
	i.set(Faults{})
	return i
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active = f
	i.writes = newLimiter(f.WritesPerSecond, DefaultWritesPerSecond)
	i.reads = newLimiter(f.ReadsPerSecond, DefaultReadsPerSecond)
}

// newLimiter returns a limiter of requests per second, with the default rate if the given one is 0. It allows a burst of
// half the requests of a second.
func newLimiter(perSecond, defaultPerSecond int) *rate.Limiter {
	if perSecond == 0 {
		perSecond = defaultPerSecond
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/2))
}

func (i *injector) faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.active
}

func (i *injector) delay() time.Duration { return time.Duration(i.faults().DelayMs) * time.Millisecond }

// allow reports whether a request is within the rate limit, and counts it towards the limit.
func (i *injector) allow(isWrite bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if isWrite {
		return i.writes.Allow()
	}
	return i.reads.Allow()
}

// loseResponse reports whether the response of a write is to be lost, and counts it as lost.
func (i *injector) loseResponse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active.LoseAnswers == 0 {
		return false
	}
	i.active.LoseAnswers--
	return true
}
