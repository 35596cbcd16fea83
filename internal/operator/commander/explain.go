package commander

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/operator/inspector"
)

// lineExplainCommand implements the command line explain.
type lineExplainCommand struct {
	inv      *invocation
	VM       string         `long:"vm" value-name:"ADDRESS" required:"true" description:"peer address (host:port) of the VM to ask, see line status"`
	Database string         `long:"database" value-name:"NAME" required:"true" description:"database name of the request"`
	Team     string         `long:"team" value-name:"NAME" description:"team of the caller; without it, the caller has no known key"`
	IsRead   bool           `long:"read" description:"explain a read (default)"`
	IsWrite  bool           `long:"write" description:"explain a write"`
	Age      *time.Duration `long:"age" value-name:"DURATION" description:"staleness that the read accepts, in place of that of the route"`
}

// Execute implements flags.Commander.
func (c *lineExplainCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	switch {
	case c.IsRead && c.IsWrite:
		return usagef("--read and --write exclude each other")
	case c.IsWrite && c.Age != nil:
		return usagef("--age applies only to reads")
	case c.Age != nil && *c.Age < 0:
		return usagef("--age is negative")
	}
	ctx, cancel := c.inv.newContext()
	defer cancel()
	x, err := inspector.QueryExplanation(ctx, http.DefaultClient, c.VM, inspector.Request{Database: c.Database, Team: c.Team, IsWrite: c.IsWrite, Age: c.Age})
	if classifier.Is(err, classifier.Invalid) {
		return usagef("%s", classifier.Message(err))
	}
	if err != nil {
		return err
	}
	if c.inv.JSON {
		return c.inv.printJSON(x)
	}
	fmt.Fprint(c.inv.out, explanationText(x))
	return nil
}

// explanationText returns the lines that the command prints for an explanation.
func explanationText(x inspector.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s, configuration %d\n", x.VM, x.DataCentre, x.Configuration)
	if r := x.Route; r != nil {
		fmt.Fprintf(&b, "route %s: group %s, %s reads", r.Database, r.Group, r.ReadKind)
		if r.MaxStalenessMillis > 0 {
			fmt.Fprintf(&b, " up to %s old", duration(r.MaxStalenessMillis))
		}
		fmt.Fprintf(&b, ", priority %d, timeout %s", r.Priority, duration(r.TimeoutMillis))
		if r.ObjectiveMillis > 0 {
			fmt.Fprintf(&b, ", objective %s", duration(r.ObjectiveMillis))
		}
		if r.IsPublic {
			b.WriteString(", public")
		}
		b.WriteString("\n")
	}
	if t := x.Team; t != nil {
		writeTeam(&b, t)
	}
	if x.Route != nil {
		writeRequest(&b, x)
	}
	for k, c := range x.Candidates {
		writeCandidate(&b, k, c)
	}
	if r := x.Refusal; r != nil {
		fmt.Fprintf(&b, "result: refused by %s", r.By)
		if r.AfterMillis > 0 {
			fmt.Fprintf(&b, " after %s, unless the group changes", duration(r.AfterMillis))
		} else {
			b.WriteString(" at once")
		}
		fmt.Fprintf(&b, ", kind %s: %s\n", r.Kind, r.Text)
		return b.String()
	}
	fmt.Fprintf(&b, "result: %s, expected wait %s of at most %s\n", x.Instance, duration(x.WaitMillis), duration(x.LongestMillis))
	return b.String()
}

func writeTeam(b *strings.Builder, t *inspector.ExplainedTeam) {
	if t.Rate <= 0 {
		fmt.Fprintf(b, "team %s: no limit\n", t.Name)
		return
	}
	fmt.Fprintf(b, "team %s: limit %g/s, burst %g, on all VMs; %d tokens in hand on this VM", t.Name, t.Rate, t.Burst, t.InHand)
	if t.WaitMillis > 0 {
		fmt.Fprintf(b, "; all holders have refused, next request in %s", duration(t.WaitMillis))
	}
	b.WriteString("\n")
	for _, h := range t.Holders {
		fmt.Fprintf(b, "  shard %d: ", h.Shard)
		switch {
		case h.Address == "":
			b.WriteString("holder not known\n")
		case h.HasFailed:
			fmt.Fprintf(b, "held by %s, which did not answer\n", h.Address)
		case h.WaitMillis > 0:
			fmt.Fprintf(b, "held by %s, which had too few tokens, asked again in %s\n", h.Address, duration(h.WaitMillis))
		default:
			fmt.Fprintf(b, "held by %s\n", h.Address)
		}
	}
}

func writeRequest(b *strings.Builder, x inspector.Explanation) {
	primary := x.Primary
	if primary == "" {
		primary = "unknown"
	}
	fmt.Fprintf(b, "%s: primary %s", x.Statement, primary)
	if x.IsLeadInDoubt {
		b.WriteString(", whose lead could not be verified last")
	}
	switch f := x.Floor; {
	case f == nil:
		b.WriteString(", which serves the request\n")
	case f.IsKnown:
		fmt.Fprintf(b, ", floor %s, reached at most %s ago\n", f.Position, duration(f.AgeMillis))
	default:
		b.WriteString(", floor not known: the primary is asked first\n")
	}
}

func writeCandidate(b *strings.Builder, k int, c inspector.ExplainedCandidate) {
	if c.Exclusion != "" {
		fmt.Fprintf(b, "- %s %s: excluded, %s; ", c.ID, c.DataCentre, exclusionText(c.Exclusion))
	} else {
		fmt.Fprintf(b, "%d %s %s: ", k+1, c.ID, c.DataCentre)
	}
	b.WriteString(c.Health)
	switch {
	case c.IsProbeDue:
		fmt.Fprintf(b, " (%s, probe due)", c.Fault)
	case c.Fault != "":
		fmt.Fprintf(b, " (%s)", c.Fault)
	}
	fmt.Fprintf(b, ", cost %s, lag %s, position %s", duration(c.CostMillis), duration(c.LagMillis), c.Position)
	if c.Failures > 0 {
		fmt.Fprintf(b, ", %d failures", c.Failures)
	}
	l := c.Link
	if l.GatewayAddress == "" {
		b.WriteString("; direct")
	} else {
		fmt.Fprintf(b, "; through %s %s", l.Gateway, l.GatewayAddress)
	}
	fmt.Fprintf(b, ", %d usable of %d open connections, %d of %d in use, %d waiting, %d ahead", l.Usable, l.Open, l.InUse, l.MaxInUse, l.Waiting, l.Ahead)
	switch p := c.Pace; {
	case p.Ramp != "":
		fmt.Fprintf(b, "; paced to %d of %d, ramp: %s", p.Limit, p.Usual, p.Ramp)
	case p.Limit < p.Usual:
		fmt.Fprintf(b, "; paced to %d of %d", p.Limit, p.Usual)
	}
	fmt.Fprintf(b, "; wait %s", duration(c.WaitMillis))
	if c.Rejection != "" {
		fmt.Fprintf(b, "; rejected: %s", c.Rejection)
	}
	b.WriteString("\n")
}

// exclusionTexts are the texts for the reasons for which a candidate is not tried. Reasons of a later version of the VM are
// printed as they are.
var exclusionTexts = map[string]string{
	"notPrimary":   "only the primary serves the request",
	"leaving":      "it is shutting down",
	"dialBackoff":  "it refused a connection and none is open",
	"refusedFloor": "it recently refused this or a lower floor",
	"lagging":      "it lags by more than the floor's age and was asked recently",
}

func exclusionText(reason string) string {
	if text, ok := exclusionTexts[reason]; ok {
		return text
	}
	return reason
}

// duration returns milliseconds as a text with a unit.
func duration(millis float64) string {
	return time.Duration(millis * float64(time.Millisecond)).String()
}
