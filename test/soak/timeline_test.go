package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// timeline collects what happened during a run, in memory.
type timeline struct {
	mu    sync.Mutex
	lines []timelineEntry
	names map[string]string // of VMs, by names of connections
}

type timelineEntry struct {
	at           time.Time
	source, text string
}

func (l *timeline) add(source, format string, args ...any) {
	l.addAt(time.Now(), source, fmt.Sprintf(format, args...))
}

func (l *timeline) addAt(at time.Time, source, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, timelineEntry{at, source, text})
}

// rename makes the timeline show another name.
func (l *timeline) rename(name, vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[name] = vm
}

// leftOut are the events of the VMs' logs that the timeline leaves out: one for each statement.
var leftOut = []string{`event="statementServed"`, `event="statementRepeated"`, `event="dialFailed"`, `event="sessionEnded"`}

// addLog adds the lines of a VM's log, which begin with a time, without those of single statements.
func (l *timeline) addLog(source, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	last := time.Time{}
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		if slices.ContainsFunc(leftOut, func(event string) bool { return strings.Contains(s.Text(), event) }) {
			continue
		}
		word, rest, _ := strings.Cut(strings.TrimPrefix(s.Text(), "time="), " ")
		if at, err := time.Parse(time.RFC3339Nano, word); err == nil {
			last = at
		} else {
			rest = s.Text()
		}
		l.addAt(last, source, rest)
	}
	return s.Err()
}

// write writes all entries in the order of their times.
func (l *timeline) write(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(l.lines, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	for _, e := range l.lines {
		if before, rest, ok := strings.Cut(e.text, "<"); ok && e.source == "platform" {
			if name, after, ok := strings.Cut(rest, ">"); ok {
				e.text = before + l.names["<"+name+">"] + after
			}
		}
		_, _ = fmt.Fprintf(w, "%s %-10s %s\n", clock(e.at), e.source, e.text)
	}
}

// clock returns a time as the timeline names it.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }
