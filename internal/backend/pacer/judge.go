package pacer

import (
	"math"
	"slices"
	"time"
)

// windowDecay is the time constant with which outcomes in a Window lose their weight.
const windowDecay = 3 * time.Second

// Window counts the recent outcomes of statements at an instance; they decay exponentially. The zero value is empty.
type Window struct {
	answered, failed float64
	at               time.Time
	answeredAt       time.Time // when the latest statement was answered
	failedInRow      int       // failed statements since then, at most maxFailedInRow
}

// maxFailedInRow is the number of statements that failed without an answer between them up to which they count. A crash fails all
// statements that are under way; with all of them counted, the instance would be avoided for seconds after its return.
const maxFailedInRow = 3

// WithOutcome returns the window after one more statement.
func (w Window) WithOutcome(now time.Time, ok bool) Window {
	w.answered, w.failed = w.At(now)
	w.at = now
	if ok {
		w.answeredAt, w.failedInRow = now, 0
		w.answered++
	} else if w.failedInRow < maxFailedInRow {
		w.failedInRow++
		w.failed++
	}
	return w
}

// At returns the weights of the answered and of the failed statements.
func (w Window) At(now time.Time) (answered, failed float64) {
	if w.at.IsZero() {
		return 0, 0
	}
	f := math.Exp(-max(0, now.Sub(w.at).Seconds()) / windowDecay.Seconds())
	return w.answered * f, w.failed * f
}

// Observation is what a VM knows about an instance.
type Observation struct {
	ID      string
	Window  Window
	Latency time.Duration // mean; 0: not known
	Silence time.Duration // for which it has answered none of the statements that it has; 0: it has none

	Failures     int       // failed dials and unanswered statements since its last answer to a statement of this VM's clients
	LastFailedAt time.Time // the latest of them
	ProbedAt     time.Time // when the latest read was sent to it
}

// Fault tells why an instance is avoided.
type Fault string

// The faults.
const (
	Silent     Fault = "silent"     // it has not answered any statement for a while
	Unanswered Fault = "unanswered" // it has not answered since the latest failure
	Failing    Fault = "failing"    // it fails more of its statements than its peers
)

// StaleSilence is the silence from which the statements that an instance has may never be answered. It is a fault also at an
// instance with a high latency.
const StaleSilence = time.Second

const (
	// minSilence is the shortest silence of a fault. It is well above the pauses of a small VM, and below the reply timeout of
	// a read (250 ms), which each statement at a silent instance has to wait for.
	minSilence = 120 * time.Millisecond
	// silenceFactor is the silence that is a fault, as a multiple of the instance's mean latency.
	silenceFactor = 6
	// minFailed is the weight of failed statements below which an instance is not judged to be failing: at least two of them.
	minFailed = 1.5
	// minFailedShare is the share of failed statements below which an instance is not judged to be failing.
	minFailedShare = 0.12
	// peerFactor is how many times the share of its peers' failed statements an instance must fail. Statements that fail
	// everywhere, for the fault of a client, exclude no instance.
	peerFactor = 3
	// maxExcludedDivisor sets how many instances of a group may be excluded, as a fraction of all.
	maxExcludedDivisor = 2

	// minProbeInterval is the time after a failure, or after the latest probe, until a probe is sent.
	minProbeInterval = 500 * time.Millisecond
	// maxProbeDoublings bounds how often the interval doubles with consecutive failures.
	maxProbeDoublings = 1
)

// Verdict is the judgement of an instance.
type Verdict struct {
	ID    string
	Fault Fault // "": none
	// IsExcluded states that the instance is avoided although that leaves the others its load. Of the instances with a fault, only
	// the worst are excluded, at most half of the group. Others only rank last.
	IsExcluded bool
	MayProbe   bool // one read may be sent to find out whether the fault has passed
}

// Judge compares the instances of a group. The verdicts have the order of the observations.
func Judge(group []Observation, now time.Time) []Verdict {
	verdicts := make([]Verdict, len(group))
	var faulty []int
	for k, o := range group {
		verdicts[k] = Verdict{ID: o.ID, Fault: faultOf(o, group, now)}
		if verdicts[k].Fault != "" {
			// The statements that a silent instance has are its probes for a while.
			verdicts[k].MayProbe = (verdicts[k].Fault != Silent || o.Silence >= StaleSilence) && isProbeDue(o, now)
			faulty = append(faulty, k)
		}
	}
	slices.SortStableFunc(faulty, func(a, b int) int { return severity(verdicts[b].Fault) - severity(verdicts[a].Fault) })
	for n, k := range faulty {
		verdicts[k].IsExcluded = n < len(group)/maxExcludedDivisor
	}
	return verdicts
}

// severity orders faults by how little a statement can expect from the instance.
func severity(f Fault) int {
	switch f {
	case Silent:
		return 2
	case Unanswered:
		return 1
	}
	return 0
}

func faultOf(o Observation, group []Observation, now time.Time) Fault {
	switch {
	case IsSilent(o.Silence, o.Latency):
		return Silent
	case o.Failures > 0 && !o.Window.answeredAt.After(o.LastFailedAt):
		return Unanswered
	}
	answered, failed := o.Window.At(now)
	if failed < minFailed || failed/(answered+failed) < minFailedShare {
		return ""
	}
	peersAnswered, peersFailed := 1.0, 0.0 // a group without statements at the peers counts as one whose peers answer
	for _, peer := range group {
		if peer.ID != o.ID {
			a, f := peer.Window.At(now)
			peersAnswered, peersFailed = peersAnswered+a, peersFailed+f
		}
	}
	if failed/(answered+failed) < peerFactor*peersFailed/(peersAnswered+peersFailed) {
		return ""
	}
	return Failing
}

// IsSilent reports whether an instance with a mean latency that has answered none of its statements for a time is faulty.
func IsSilent(silence, latency time.Duration) bool {
	return silence >= min(max(minSilence, silenceFactor*latency), StaleSilence)
}

// isProbeDue reports whether a read may be sent to an instance with a fault.
func isProbeDue(o Observation, now time.Time) bool {
	interval := minProbeInterval << min(max(0, o.Failures-1), maxProbeDoublings)
	return now.Sub(o.LastFailedAt) >= interval && now.Sub(o.ProbedAt) >= interval
}
