package logger

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

// maxQueuedLines limits the lines that wait for a slow reader.
const maxQueuedLines = 1024

// Limits of the sampled lines of one event and reason.
const (
	sampleLinesPerSecond = 10
	sampleBurstLines     = 30 // lines that may be written at once after a quiet time
)

// NewBounded returns a logger that never blocks on the reader of w: it discards lines while its queue is full. It limits
// the rate of the events that Sample writes.
func NewBounded(w io.Writer, vmID string) *Logger {
	l := New(w, vmID)
	l.out.Writer = &log.AsyncWriter{Writer: l.out.Writer, ChannelSize: maxQueuedLines, DiscardOnFull: true}
	l.sampler = &sampler{limits: map[sampleKey]*sampleLimit{}}
	return l
}

// sampleKey identifies the lines that share a rate limit.
type sampleKey struct {
	event  Event
	reason string
}

// sampleLimit limits the rate of the lines of one event and reason.
type sampleLimit struct {
	limiter *rate.Limiter
	leftOut int64 // lines left out since the last one that was written
}

// sampler limits the rate of the lines of each event and reason.
type sampler struct {
	mu     sync.Mutex
	limits map[sampleKey]*sampleLimit
}

// maxReasons bounds the table; further reasons share one row.
const maxReasons = 500

// allow reports whether a line may be written, and returns how many were left out since the last one.
func (s *sampler) allow(k sampleKey) (leftOut int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, isKnown := s.limits[k]
	if !isKnown {
		if len(s.limits) >= maxReasons {
			k.reason = ""
		}
		limit = &sampleLimit{limiter: rate.NewLimiter(sampleLinesPerSecond, sampleBurstLines)}
		s.limits[k] = limit
	}
	if !limit.limiter.AllowN(time.Now(), 1) {
		limit.leftOut++
		return 0, false
	}
	leftOut, limit.leftOut = limit.leftOut, 0
	return leftOut, true
}

// Sample writes an event unless the rate limit of the event and reason is reached. The key leftOut of a line holds the
// number of lines left out since the previous one. StatementServed and SessionEnded, which belong to normal operation,
// have the level info, all other events warn.
func (l *Logger) Sample(e Event, reason string, fields ...Field) {
	if l == nil || l.out == nil {
		return
	}
	write := l.Warn
	if e == StatementServed || e == SessionEnded {
		write = l.Info
	}
	if l.sampler == nil {
		write(e, fields...)
		return
	}
	leftOut, ok := l.sampler.allow(sampleKey{e, reason})
	if !ok {
		return
	}
	if leftOut > 0 {
		fields = append(fields, Int("leftOut", leftOut))
	}
	write(e, fields...)
}
