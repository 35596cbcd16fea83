package enroller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/tailscale/hujson"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/group/witness"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/session/tokenizer"
)

// decideCase is a case of testdata/decide.hujson.
type decideCase struct {
	Name          string
	Stored        string
	StoredPrimary string
	StoredTerm    uint64 // 1 if it is left out
	StoredFloor   string
	Absent        string
	AbsentAt      int
	Registry      uint64 // 100 if it is left out
	RegistryEra   uint64
	Instances     string
	ManyInstances int
	Primary       string
	Term          uint64
	FirstProof    string
	Newest        string
	NewestAt      int
	Departure     string
	Now           int
	NeedsProof    bool
	Want          string
	WantPrimary   string
	WantTerm      uint64 // 1 if it is left out
	WantFloor     string
}

func members(t *testing.T, text string) (list []registrar.Member) {
	t.Helper()
	for _, word := range strings.Fields(text) {
		m := registrar.Member{ID: word[:1]}
		if number := word[1:]; number != "" {
			var err error
			if m.StartedAtMs, err = strconv.ParseInt(number, 10, 64); err != nil {
				t.Fatal(err)
			}
		}
		list = append(list, m)
	}
	return list
}

func position(t *testing.T, text string) tokenizer.Position {
	t.Helper()
	p, err := tokenizer.ParsePosition(cmp.Or(text, "0/0"))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a roster that lacks an instance which may alone hold a commit, and against a floor that lacks commits of one that
// was taken off.
func TestDecide(t *testing.T) {
	b, err := os.ReadFile("testdata/decide.hujson")
	if err != nil {
		t.Fatal(err)
	}
	if b, err = hujson.Standardize(b); err != nil {
		t.Fatal(err)
	}
	var cases []decideCase
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	seconds := func(n int) time.Duration { return time.Duration(n) * time.Second }
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var stored registrar.Roster
			if c.Stored != "" {
				stored = registrar.Roster{Instances: members(t, c.Stored), Primary: c.StoredPrimary, Term: cmp.Or(c.StoredTerm, 1), Floor: position(t, c.StoredFloor), RegistryVersion: 50}
			}
			absences := map[registrar.Member]time.Duration{}
			for _, m := range members(t, c.Absent) {
				absences[m] = seconds(c.AbsentAt)
			}
			v := registrar.RosterView{
				Instances: members(t, c.Instances), Primary: c.Primary, Term: c.Term, FirstProof: position(t, c.FirstProof),
				Newest: witness.Sample{SentAt: seconds(c.NewestAt), Position: position(t, c.Newest)}, DepartureFloor: position(t, c.Departure), Now: seconds(c.Now),
			}
			for k := range c.ManyInstances {
				v.Instances = append(v.Instances, registrar.Member{ID: fmt.Sprint("i-", k)})
			}
			version := follower.VersionAt(c.RegistryEra, cmp.Or(c.Registry, 100))
			d := Decide(stored, v, absences, version)
			if d.NeedsProof != c.NeedsProof {
				t.Errorf("needs a proof: %t, want %t", d.NeedsProof, c.NeedsProof)
			}
			if c.Want == "" {
				if d.IsDue {
					t.Errorf("writes %+v, want nothing", d.Roster)
				}
				return
			}
			want := registrar.Roster{Primary: c.WantPrimary, Term: cmp.Or(c.WantTerm, 1), Floor: position(t, c.WantFloor), RegistryVersion: version}
			if c.Want != "-" {
				want.Instances = members(t, c.Want)
			}
			if diff := gocmp.Diff(want, d.Roster); diff != "" || !d.IsDue {
				t.Errorf("is due: %t, roster (-want +got):\n%s", d.IsDue, diff)
			}
		})
	}
}
