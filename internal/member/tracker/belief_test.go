package tracker

import (
	"testing"
	"time"
)

// The precedence of the sources decides who gets requests: a wrong list entry
// must not hide a VM that answers, nor keep one in use that does not.
func TestBelieve(t *testing.T) {
	now := time.Now()
	ago := func(seconds int) time.Time { return now.Add(-time.Duration(seconds) * time.Second) }
	for _, tc := range []struct {
		name string
		e    evidence
		want State
	}{
		{"nothing known", evidence{}, ""},
		{"listed", evidence{listed: Live}, Live},
		{"listed as leaving", evidence{listed: Leaving}, Leaving},

		{"not listed, but answers", evidence{goodAt: ago(1)}, Live},
		{"not listed, answered long ago", evidence{goodAt: ago(11)}, ""},
		{"not listed, sent a message", evidence{said: Live, saidAt: ago(1)}, Live},
		{"listed, but fails", evidence{listed: Live, failures: 2, failedAt: ago(1)}, Dead},
		{"listed, one failure only", evidence{listed: Live, failures: 1, failedAt: ago(1)}, Live},
		{"listed, failed long ago", evidence{listed: Live, failures: 9, failedAt: ago(11)}, Live},
		{"fails, but sends messages", evidence{said: Live, saidAt: ago(0), failures: 2, failedAt: ago(1)}, Dead},
		{"answered after failures", evidence{goodAt: ago(1), failedAt: ago(2), listed: Live}, Live},

		{"not listed, peers hear it", evidence{peer: Live, peerAt: ago(5)}, Live},
		{"not listed, peers heard it long ago", evidence{peer: Live, peerAt: ago(31)}, ""},
		{"listed, peers cannot reach it", evidence{listed: Live, deadAt: ago(5)}, Dead},
		{"listed, peers could not reach it long ago", evidence{listed: Live, deadAt: ago(31)}, Live},
		{"only some peers cannot reach it", evidence{listed: Live, peer: Live, peerAt: ago(4), deadAt: ago(1)}, Live},
		{"no peer has heard it since others failed", evidence{listed: Live, peer: Live, peerAt: ago(9), deadAt: ago(1)}, Dead},
		{"peers hear it again", evidence{listed: Live, peer: Live, peerAt: ago(1), deadAt: ago(9)}, Live},
		{"peers cannot reach it, but it answers here", evidence{goodAt: ago(9), deadAt: ago(1)}, Live},
		{"peers hear it, but it fails here", evidence{failures: 2, failedAt: ago(9), peer: Live, peerAt: ago(1)}, Dead},
		{"peers say it is leaving", evidence{listed: Live, peer: Leaving, peerAt: ago(3)}, Leaving},

		{"announced to leave", evidence{listed: Live, said: Leaving, saidAt: ago(20), goodAt: ago(1)}, Leaving},
		{"announced to leave, silent since", evidence{listed: Live, said: Leaving, saidAt: ago(20)}, Leaving},
		{"announced to leave long ago, restarted", evidence{listed: Live, said: Leaving, saidAt: ago(61), goodAt: ago(1)}, Live},
		{"announced to leave, then gone", evidence{listed: Live, said: Leaving, saidAt: ago(20), failures: 2, failedAt: ago(1)}, Dead},
		{"wrongly listed as leaving", evidence{listed: Leaving, said: Live, saidAt: ago(1), goodAt: ago(1)}, Live},
		{"listed as leaving, answers", evidence{listed: Leaving, goodAt: ago(1)}, Leaving},
		{"wrongly listed as leaving, peers know better", evidence{listed: Leaving, peer: Live, peerAt: ago(2)}, Live},
	} {
		if got := believe(tc.e, now); got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, got, tc.want)
		}
	}
}
