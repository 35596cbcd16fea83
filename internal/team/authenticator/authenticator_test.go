package authenticator

import (
	"strings"
	"testing"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/cataloger"
)

// Guards against a caller that is served without a valid key, that runs for another team, or that is refused although its key
// is valid: with a removed key, a moved key, in an open transaction, and on a VM without any source of configurations.
func TestDecide(t *testing.T) {
	none := &cataloger.Configuration{}
	teams := cataloger.Configuration{}.WithTeams([]cataloger.Team{{Name: "jsb", Keys: []string{"k1", "k3"}}, {Name: "hh", Keys: []string{"k2", "k3", ""}}})
	allRemoved := cataloger.Configuration{}.WithTeams(nil)
	closed := Rule{FailClosed: true, KeyRevocation: 5 * time.Second}
	public := cataloger.Route{IsPublic: true}
	jsb, nobody := &cataloger.Team{Name: "jsb"}, &cataloger.Team{}
	for name, c := range map[string]struct {
		rule   Rule
		caller Caller
		team   string
		reason Reason
	}{
		"no teams":                             {closed, Caller{Key: "u1", Configuration: none, SilentFor: time.Hour}, "", ""},
		"known key":                            {closed, Caller{Key: "k1", Configuration: teams, SilentFor: 5 * time.Second}, "jsb", ""},
		"unknown key":                          {closed, Caller{Key: "u1", Configuration: teams}, "", UnknownKey},
		"no key":                               {closed, Caller{Configuration: teams}, "", UnknownKey},
		"all teams removed":                    {closed, Caller{Key: "k1", Configuration: allRemoved}, "", UnknownKey},
		"key of two teams":                     {closed, Caller{Key: "k3", Configuration: teams}, "jsb", ""},
		"public route, known key":              {closed, Caller{Key: "k2", Route: public, Configuration: teams}, "hh", ""},
		"public route, unknown key":            {closed, Caller{Key: "u1", Route: public, Configuration: teams}, "", ""},
		"key moved, open transaction":          {closed, Caller{Key: "k2", Configuration: teams, Transaction: jsb}, "jsb", ""},
		"key removed, open transaction":        {closed, Caller{Key: "u1", Configuration: teams, Transaction: jsb}, "", KeyRemoved},
		"the same on a public route":           {closed, Caller{Key: "u1", Route: public, Configuration: teams, Transaction: jsb}, "", KeyRemoved},
		"public route, transaction of no team": {closed, Caller{Key: "k1", Route: public, Configuration: teams, Transaction: nobody}, "", ""},
		"teams removed, open transaction":      {closed, Caller{Key: "k1", Configuration: none, Transaction: jsb}, "jsb", ""},
		"no source, fails closed":              {closed, Caller{Key: "k1", Configuration: teams, SilentFor: 5*time.Second + 1}, "", WithoutSource},
		"the same on a public route, no key":   {closed, Caller{Key: "u1", Route: public, Configuration: teams, SilentFor: time.Minute}, "", WithoutSource},
		"no source, fails open":                {Rule{KeyRevocation: 5 * time.Second}, Caller{Key: "k1", Configuration: teams, SilentFor: time.Hour}, "jsb", ""},
	} {
		d := c.rule.Decide(c.caller)
		if d.Team.Name != c.team || d.Reason != c.reason {
			t.Errorf("%s: team %q, reason %q; want %q, %q", name, d.Team.Name, d.Reason, c.team, c.reason)
		}
		if err := d.Err(); d.IsRefused() != classifier.Is(err, classifier.AuthenticationFailed) || err != nil && c.caller.Key != "" && strings.Contains(err.Error(), c.caller.Key) {
			t.Errorf("%s: error %v; want kind authenticationFailed if refused, without the key", name, err)
		}
	}
}

// Guards against a lookup whose time grows with the number of teams and routes, which each operation pays.
func TestDecideAllocatesNothing(t *testing.T) {
	teams := make([]cataloger.Team, 75)
	for k := range teams {
		teams[k] = cataloger.Team{Name: strings.Repeat("t", k+1), Keys: []string{strings.Repeat("k", k+1)}}
	}
	c := Caller{Key: "kkk", Configuration: cataloger.Configuration{Routes: map[string]cataloger.Route{}}.WithTeams(teams)}
	if n := testing.AllocsPerRun(100, func() { _ = Rule{}.Decide(c) }); n > 0 {
		t.Errorf("%g allocations for a decision, want none", n)
	}
}
