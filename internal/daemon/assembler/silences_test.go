package assembler

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/platform/follower"
)

// Guards against VMs that are gone for good and keep their ranks, so that nobody writes the rosters, and against a VM that takes all ranks
// because it is cut off.
func TestRankOfSilentVMs(t *testing.T) {
	address := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", k) }
	var rows fixedStore
	for k := range 7 {
		rows = append(rows, follower.Row{Key: fmt.Sprintf("vm-%d", k+1), Value: fmt.Appendf(nil, `{"dataCentre":"d1","peerAddress":"%s"}`, address(k))})
	}
	for _, c := range []struct {
		name    string
		silent  int           // VMs that do not answer
		lasts   time.Duration // their silence
		answers bool          // they answer after that
		after   time.Duration // from the latest pull to the question for the rank
		wantAll bool          // the silent VMs keep their ranks
	}{
		{"some for a moment", 3, longSilence - time.Second, false, 0, true},
		{"some for long", 3, longSilence, false, 0, false},
		{"some for long, and they are back", 3, longSilence, true, 0, true},
		{"some for long, and this VM has not asked again", 3, longSilence, false, silenceTTL, true},
		{"most for long", 4, longSilence, false, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMembers(loader.LineSettings{ID: "vm-0"}, rows, rows)
				if err := m.refresh(t.Context()); err != nil {
					t.Fatal(err)
				}
				group := "" // for which all VMs rank before this one
				for k := 0; m.rank(group) != 7; k++ {
					group = fmt.Sprint("g", k)
				}
				pull := func(err error) {
					for k := range c.silent {
						m.recordPull(address(k), err)
					}
				}
				for d := time.Duration(0); d <= c.lasts; d += time.Second {
					if d > 0 {
						time.Sleep(time.Second)
					}
					pull(errors.New("no answer"))
					m.rank(group)
				}
				if c.answers {
					pull(nil)
				}
				time.Sleep(c.after)
				if c.after > 0 {
					if err := m.refresh(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				want := 7
				if !c.wantAll {
					want -= c.silent
				}
				if got := m.rank(group); got != want {
					t.Errorf("rank is %d, want %d", got, want)
				}
			})
		})
	}
}

// Guards against a memory of silences that grows with each VM that was ever listed.
func TestSilencesAreForgotten(t *testing.T) {
	m := newMembers(loader.LineSettings{ID: "vm-0"}, fixedStore(nil), fixedStore(nil))
	m.recordPull("127.0.0.1:1", errors.New("no answer"))
	if err := m.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := len(m.silences); n != 0 {
		t.Errorf("%d silences of VMs that are not listed, want none", n)
	}
}
