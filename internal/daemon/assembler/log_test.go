package assembler

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"parsleyscale/internal/group/registrar"
	"parsleyscale/internal/group/replacer"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/statement/carrier"
	"parsleyscale/internal/telemetry/logger"
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
		v := &VM{log: logger.New(&b, "vm-1")}
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

// Guards against a log from which nobody can tell whether a VM knew the primary of a term by an answer of the instance.
func TestLogPrimaryChange(t *testing.T) {
	for _, c := range []struct {
		change registrar.PrimaryChange
		want   string
	}{
		{registrar.PrimaryChange{Group: "g", Instance: "i", Term: 3, Position: tokenizer.Position{Term: 3, Index: 9}}, `event="primaryKnown" vm="vm-1" group="g" instance="i" term=3 reached="3/9"`},
		{registrar.PrimaryChange{Group: "g", Instance: "i", LastTerm: 3, Term: 4, Reason: registrar.LossLaterTerm}, `event="primaryUnknown" vm="vm-1" group="g" instance="i" term=4 lastTerm=3 reason="laterTerm"`},
	} {
		var b bytes.Buffer
		v := &VM{log: logger.New(&b, "vm-1")}
		v.logPrimaryChange(c.change)
		if !strings.HasSuffix(b.String(), c.want+"\n") {
			t.Errorf("line %q, want it to end with %s", b.String(), c.want)
		}
	}
}
