package assembler

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/telemetry/logger"
	"parsleyscale/internal/telemetry/meter"
)

// Guards against values in the lines of a replacement that look measured and are not: token=0, received="0/0" and tookMs=0
// stood on events that have no token, position or duration.
func TestReplacementFields(t *testing.T) {
	held := carrier.InstanceStatus{Term: 3, HoldTerm: 4, Received: tokenizer.Position{Term: 3, Index: 9}}
	received := carrier.InstanceStatus{Received: tokenizer.Position{Term: 1, Index: 9}}
	for _, c := range []struct {
		event  replacer.Event
		want   []string
		absent []string
	}{
		{replacer.Event{Name: replacer.EventReplacementBegun, Group: "g", Instance: "i", Reason: replacer.WritesStalled}, []string{`reason="writesStalled"`}, []string{"token", "received", "took", "error"}},
		{replacer.Event{Name: replacer.EventHeld, Group: "g", Instance: "i", Status: received}, []string{`received="1/9"`}, []string{"reason", "token", "took", "role", "term", "heldTerm", "oldTerm", "via"}},
		{replacer.Event{Name: replacer.EventHeld, Group: "g", Instance: "i", Term: 3, Command: replacer.CommandHold, Status: held}, []string{`command="hold"`, "oldTerm=3", `role="replica"`, " term=3", "heldTerm=4", `received="3/9"`}, []string{"token", "took", "via"}},
		{replacer.Event{Name: replacer.EventDemoted, Group: "g", Instance: "i", Term: 3, Command: replacer.CommandDemote, Via: "10.0.0.1:9", Status: carrier.InstanceStatus{IsPrimary: true}}, []string{`command="demote"`, `via="10.0.0.1:9"`, `role="primary"`, " term=0", "heldTerm=0", `received="0/0"`}, []string{"token", "took"}},
		{replacer.Event{Name: replacer.EventHeld, Group: "g", Instance: "i", Term: 3, Command: replacer.CommandHold, Err: errors.New("no answer")}, []string{`command="hold"`, `error="no answer"`}, []string{"role", "term", "heldTerm", "received"}},
		{replacer.Event{Name: replacer.EventPromoteRequested, Group: "g", Instance: "i", Token: 7}, []string{"token=7"}, []string{"received", "took"}},
		{replacer.Event{Name: replacer.EventPromoteRequested, Group: "g", Instance: "i", Token: 7, Basis: &replacer.Basis{EndedBy: replacer.EndedByHold, Received: held.Received, Known: 3, Unanswered: 1, Candidates: 2}},
			[]string{`tokenKind="claim"`, `endedBy="hold"`, `received="3/9"`, "known=3", "unanswered=1", "candidates=2"}, []string{"role", "via", "earlierChoice", "registryVersion", "registryAge", "departureFloor", "silentReplicas"}},
		{replacer.Event{Name: replacer.EventPromoteRequested, Group: "g", Instance: "i", Token: 7, Basis: &replacer.Basis{EndedBy: replacer.EndedByPeer, Via: "10.0.0.1:9", IsSpare: true, EarlierChoice: "j", RegistryVersion: 40, RegistryAge: 9 * time.Second, HasDeparture: true, SilentReplicas: 1}},
			[]string{`tokenKind="spare"`, `endedBy="demotionByPeer"`, `via="10.0.0.1:9"`, `earlierChoice="j"`, "registryVersion=40", "registryAgeMs=9000", `departureFloor="unknown"`, "silentReplicas=1"}, nil},
		{replacer.Event{Name: replacer.EventFailed, Group: "g", Instance: "i", Took: time.Second, Err: errors.New("no answer")}, []string{"tookMs=1000", `error="no answer"`}, []string{"token", "received"}},
	} {
		var b bytes.Buffer
		v := &VM{log: logger.New(&b, "vm-1"), meter: newMeter(t)}
		v.recordReplacement(c.event)
		line := b.String()
		for _, want := range c.want {
			if !strings.Contains(line, want) {
				t.Errorf("%s: line %q lacks %s", c.event.Name, line, want)
			}
		}
		for _, absent := range c.absent {
			if strings.Contains(line, absent+"=") || strings.Contains(line, absent+"Ms=") {
				t.Errorf("%s: line %q has %s, which the event has not", c.event.Name, line, absent)
			}
		}
	}
}

func newMeter(t *testing.T) *meter.LineMeter {
	t.Helper()
	m, err := meter.NewLineMeter()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Close() })
	return m
}

// Guards against replacements of which only the log tells: choices with a spare token and commands without effect were not
// counted anywhere.
func TestCountReplacements(t *testing.T) {
	var b bytes.Buffer
	v := &VM{log: logger.New(&b, "vm-1"), meter: newMeter(t)}
	for _, e := range []replacer.Event{
		{Name: replacer.EventReplaced, Group: "g", Reason: replacer.WritesStalled},
		{Name: replacer.EventFailed, Group: "g", Reason: replacer.WritesStalled, Err: classifier.New(classifier.Conflict, "claimed")},
		{Name: replacer.EventPromoteRequested, Group: "g", Token: 7, Basis: &replacer.Basis{IsSpare: true}},
		{Name: replacer.EventPromoteRequested, Group: "g", Token: 8, Basis: &replacer.Basis{}, Err: classifier.New(classifier.Timeout, "no answer")},
		{Name: replacer.EventNotInEffect, Group: "g", Instance: "i", Command: replacer.CommandHold},
	} {
		v.recordReplacement(e)
	}
	if !strings.Contains(b.String(), `level=warn event="commandNotInEffect"`) {
		t.Errorf("no warning of a command that is not in effect in:\n%s", b.String())
	}
	w := httptest.NewRecorder()
	v.meter.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []struct{ name, attributes string }{
		{"parsleyscale_replacements_total", `outcome="done" reason="writesStalled"`},
		{"parsleyscale_replacements_total", `outcome="conflict" reason="writesStalled"`},
		{"parsleyscale_promote_requests_total", `outcome="done" token="spare"`},
		{"parsleyscale_promote_requests_total", `outcome="timeout" token="claim"`},
		{"parsleyscale_commands_ineffective_total", `command="hold"`},
	} {
		if !hasCount(w.Body.String(), want.name, strings.Fields(want.attributes)) {
			t.Errorf("no %s with %s and value 1 in:\n%s", want.name, want.attributes, w.Body)
		}
	}
}

// hasCount reports whether a line of the metrics has the name, all attributes and the value 1.
func hasCount(text, name string, attributes []string) bool {
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, name+"{") || !strings.HasSuffix(line, " 1\n") {
			continue
		}
		if !slices.ContainsFunc(attributes, func(a string) bool { return !strings.Contains(line, a) }) {
			return true
		}
	}
	return false
}

// Guards against a log from which nobody can tell whether a VM knew the primary of a term by an answer of the instance.
func TestLogPrimaryChange(t *testing.T) {
	for _, c := range []struct {
		change registrar.PrimaryChange
		want   string
	}{
		{registrar.PrimaryChange{Group: "g", Instance: "i", Term: 3, Position: tokenizer.Position{Term: 3, Index: 9}}, `event="primaryKnown" vm="vm-1" group="g" instance="i" term=3 reached="3/9"`},
		{registrar.PrimaryChange{Group: "g", Instance: "i", LastTerm: 3, Term: 4, Reason: registrar.LossLaterTerm}, `event="primaryUnknown" vm="vm-1" group="g" instance="i" term=4 lastTerm=3 reason="laterTerm"`},
		{
			registrar.PrimaryChange{Group: "g", Instance: "i", Term: 4, Position: tokenizer.Position{Term: 4, Index: 9}, PassedOn: tokenizer.Position{Term: 3, Index: 8}, PassedOnAgo: time.Second},
			`event="primaryKnown" vm="vm-1" group="g" instance="i" term=4 reached="4/9" passedOn="3/8" passedOnAgoMs=1000`,
		},
		{
			registrar.PrimaryChange{Group: "g", Instance: "i", Term: 3, Position: tokenizer.Position{Term: 3, Index: 7}, PassedOn: tokenizer.Position{Term: 3, Index: 8}, PassedOnAgo: time.Second},
			`level=warn event="primaryLacksEntries" vm="vm-1" group="g" instance="i" term=3 reached="3/7" passedOn="3/8" passedOnAgoMs=1000`,
		},
	} {
		var b bytes.Buffer
		v := &VM{log: logger.New(&b, "vm-1"), meter: newMeter(t)}
		v.logPrimaryChange(c.change)
		if !strings.HasSuffix(b.String(), c.want+"\n") {
			t.Errorf("line %q, want it to end with %s", b.String(), c.want)
		}
	}
}
