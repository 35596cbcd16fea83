package commander

import (
	"fmt"
	"time"

	"parsleyscale/internal/sheet/distributor"
)

// versionFilter selects the versions that a command lists.
type versionFilter struct {
	Version uint64 `long:"version" description:"list only this version"`
	Limit   uint64 `long:"limit" default:"20" description:"list at most this many of the latest versions"`
}

// records returns the audit records of the selected versions, oldest first.
func (f versionFilter) records(inv *invocation) ([]distributor.Record, error) {
	acceptor, err := inv.newAcceptor()
	if err != nil {
		return nil, err
	}
	ctx, cancel := inv.newContext()
	defer cancel()
	last, _, err := acceptor.Current(ctx)
	if err != nil {
		return nil, err
	}
	first := last - min(last, f.Limit) + 1
	if f.Version > last {
		return nil, usagef("version %d does not exist; the current version is %d", f.Version, last)
	}
	if f.Version > 0 {
		first, last = f.Version, f.Version
	}
	return acceptor.Records(ctx, first, last)
}

// summary describes a version in the output of sheet history.
type summary struct {
	Version uint64    `json:"version"`
	When    time.Time `json:"when"`
	Who     string    `json:"who"`
	Change  string    `json:"change"`
}

// text returns the line that the command prints for the version.
func (s summary) text() string {
	return fmt.Sprintf("version %d %s by %s change %s", s.Version, s.When.Format(time.RFC3339), s.Who, s.Change)
}

// historyCommand implements the command sheet history.
type historyCommand struct {
	inv *invocation
	versionFilter
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	records, err := c.records(c.inv)
	if err != nil {
		return err
	}
	summaries := make([]summary, len(records))
	for i, r := range records {
		summaries[i] = summary{r.Version, r.AcceptedAt, r.Operator, r.ChangeID}
	}
	if c.inv.JSON {
		return c.inv.printJSON(summaries)
	}
	for _, s := range summaries {
		fmt.Fprintln(c.inv.out, s.text())
	}
	return nil
}

// auditCommand implements the command audit.
type auditCommand struct {
	inv *invocation
	versionFilter
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	records, err := c.records(c.inv)
	if err != nil {
		return err
	}
	if c.inv.JSON {
		return c.inv.printJSON(append([]distributor.Record{}, records...))
	}
	for _, r := range records {
		fmt.Fprintf(c.inv.out, "%s base %d\n%s", summary{r.Version, r.AcceptedAt, r.Operator, r.ChangeID}.text(), r.BaseVersion, r.Diff.Text())
	}
	return nil
}
