package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/session/tokenizer"
)

// Guards against the acknowledgement of a commit that the successor of a primary may lack.
func TestSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		g := New(func() time.Duration { return time.Since(start) }).Group("g")
		check := func(when string, term uint64, want bool) {
			t.Helper()
			if got := g.Acknowledge(tokenizer.Position{Term: term, Index: 7}); got != want {
				t.Errorf("%s: commit of term %d is acknowledged: %t, want %t", when, term, got, want)
			}
		}
		check("before the seal", 3, true)
		g.Seal(3)
		g.Seal(2)
		check("sealed", 2, false)
		check("sealed", 3, false)
		check("sealed", 4, true)
		time.Sleep(sealTTL - time.Millisecond)
		g.Seal(3)
		time.Sleep(sealTTL - time.Millisecond)
		check("renewed", 3, false)
		time.Sleep(time.Millisecond)
		check("expired", 3, true)
	})
}
