package conductor

import (
	"math/rand/v2"
	"time"

	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/statement/performer"
)

// stopTimes are the times of a planned stop; the zero value if there is none.
type stopTimes struct {
	noticeEnd time.Time // from then on idle sessions are closed
	idleEnd   time.Time // by then they are closed: the longest statement might not be answered in time any more
	txEnd     time.Time // by then open transactions must have ended
	answerEnd time.Time // by then the statements that are taken are answered
	closeEnd  time.Time // by then sessions must have ended
}

const (
	// answerShare and exitShare are the divisors for the parts of the grace period that are left when the last statement has been
	// executed, and when the last session has ended.
	answerShare = 12
	exitShare   = 24
	// txShare is the divisor for the part of the grace period in which an open transaction may go on.
	txShare = 2
)

// newStopTimes returns the times of a stop that begins at start. The process is killed after grace. A statement may take up to longest.
func newStopTimes(start time.Time, notice, grace, longest time.Duration) stopTimes {
	answerTime := grace - grace/answerShare
	notice = min(notice, answerTime)
	return stopTimes{
		noticeEnd: start.Add(notice),
		idleEnd:   start.Add(max(notice, answerTime-longest)),
		txEnd:     start.Add(max(notice, grace/txShare)),
		answerEnd: start.Add(answerTime),
		closeEnd:  start.Add(grace - grace/exitShare),
	}
}

func (t stopTimes) isSet() bool { return !t.answerEnd.IsZero() }

// admit returns the request of a statement that arrives now, or false if it is refused. A statement is taken if it is answered in time
// even if it takes as long as it may. While idle sessions are still being closed, its timeout is shortened otherwise. A transaction must
// begin while it may still go on.
func (t stopTimes) admit(now time.Time, r performer.Request) (performer.Request, bool) {
	if !t.isSet() {
		return r, true
	}
	if v := r.Statement.Verb; v == carrier.Begin || v == carrier.BeginRead {
		return r, now.Before(t.txEnd)
	}
	excess := now.Add(performer.MaxDuration(r)).Sub(t.answerEnd)
	switch timeout := r.Timeout() - excess; {
	case excess <= 0:
		return r, true
	case now.Before(t.idleEnd.Add(minIdleBeforeStop)) && timeout > 0:
		r.Route.StatementTimeout = timeout
		return r, true
	}
	return r, false
}

// randomIdleEnd returns when an idle session is closed. The times are spread, so that clients do not reconnect all at once, over the
// first three quarters of the time between noticeEnd and idleEnd.
func (t stopTimes) randomIdleEnd() time.Time {
	window := t.idleEnd.Sub(t.noticeEnd) * 3 / 4
	return t.noticeEnd.Add(time.Duration(rand.Int64N(int64(max(window, 1)))))
}
