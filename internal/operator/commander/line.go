package commander

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/operator/auditor"
	"parsleyscale/internal/operator/inspector"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/sheet/cataloger"
)

// staleAfter is the time without news of a table after which a VM's view is reported as old.
const staleAfter = 10 * time.Second

// UsersPlatform tells the line commands how to read the users' platform: Open returns a reader of the store at an address, and
// ParseEntry decodes a row of RegistryTable, which lists the instances.
type UsersPlatform struct {
	Open          func(address string) TableReader
	RegistryTable string
	ParseEntry    func(id string, b []byte) (cataloger.Instance, error)
}

// TableReader reads whole tables of the platform's store.
type TableReader interface {
	Read(ctx context.Context, table string) (follower.Page, error)
}

// openStore returns a reader of the store of the users' platform.
func (inv *invocation) openStore() (TableReader, error) {
	if inv.Store == "" {
		return nil, usagef("store address is not set by --store or PARSLEYSCALE_STORE")
	}
	return inv.line.Open(inv.Store), nil
}

// lineStatusCommand implements the command line status.
type lineStatusCommand struct{ inv *invocation }

// Execute implements flags.Commander.
func (c *lineStatusCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	ctx, cancel := c.inv.newContext()
	defer cancel()
	o, err := c.collect(ctx)
	if err != nil {
		return err
	}
	if c.inv.JSON {
		err = c.inv.printJSON(o)
	} else {
		c.writeText(o)
	}
	if err == nil && !o.isHealthy() {
		return errLineUnhealthy
	}
	return err
}

// lineOverview is the output of the command. It distinguishes the current content of the store, the answers of the
// VMs, and the VMs that did not answer.
type lineOverview struct {
	VMs    []lineVM    `json:"vms"`
	Groups []lineGroup `json:"groups"`
}

// lineVM describes a VM by its row in the store and by its answer.
type lineVM struct {
	ID         string            `json:"id"`
	Address    string            `json:"address"`
	DataCentre string            `json:"dataCentre"`
	Unseen     string            `json:"unseen,omitempty"` // why there is no usable answer
	Status     *inspector.Status `json:"status,omitempty"`
	IsStale    bool              `json:"old,omitempty"` // it has had no news of a table for longer than staleAfter, or none so far
}

// lineGroup combines the registered instances of a group with what the VMs report about its primary.
type lineGroup struct {
	Name      string          `json:"name"`
	Primary   string          `json:"primary"` // of the highest term that a VM reported; empty if no VM knows a primary
	Term      uint64          `json:"term"`
	Believers int             `json:"believers"` // VMs that report this primary
	Others    int             `json:"others"`    // VMs that answered and report another primary or none
	Instances []groupInstance `json:"instances"`
}

// groupInstance is a registered instance of a group.
type groupInstance struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	IsLeaving  bool   `json:"leaving,omitempty"`
}

// collect reads the store and queries the VMs listed in it. Registry rows that cannot be decoded are skipped.
func (c *lineStatusCommand) collect(ctx context.Context) (*lineOverview, error) {
	store, err := c.inv.openStore()
	if err != nil {
		return nil, err
	}
	vmRows, err := store.Read(ctx, inspector.VMTable)
	if err != nil {
		return nil, err
	}
	registryRows, err := store.Read(ctx, c.inv.line.RegistryTable)
	if err != nil {
		return nil, err
	}
	o := &lineOverview{VMs: []lineVM{}, Groups: []lineGroup{}}
	for _, r := range vmRows.Rows {
		if inspector.IsSummary(r.Key) {
			continue
		}
		row, err := inspector.ParseVM(r.Key, r.Value)
		vm := lineVM{ID: row.ID, Address: row.PeerAddress, DataCentre: row.DataCentre}
		if err != nil {
			vm.Unseen = "its row cannot be read: " + err.Error()
		}
		o.VMs = append(o.VMs, vm)
	}
	queryLineVMs(ctx, o.VMs)
	registry := cataloger.Registry{}
	for _, r := range registryRows.Rows {
		if instance, err := c.inv.line.ParseEntry(r.Key, r.Value); err == nil {
			registry[r.Key] = instance
		}
	}
	o.addGroups(registry)
	return o, nil
}

// queryLineVMs queries the status of each VM whose row could be decoded.
func queryLineVMs(ctx context.Context, vms []lineVM) {
	forEachConcurrently(len(vms), func(i int) {
		if v := &vms[i]; v.Unseen == "" {
			v.recordResponse(inspector.Query(ctx, http.DefaultClient, v.Address, vmQueryTimeout))
		}
	})
}

// recordResponse records the answer to a status query. If another VM answers at the address, the state of the queried
// VM stays unknown.
func (v *lineVM) recordResponse(s inspector.Status, err error) {
	switch {
	case err != nil:
		v.Unseen = classifier.Message(err)
	case s.ID != v.ID:
		v.Unseen = fmt.Sprintf("the address answers as %s", s.ID)
	default:
		v.Status = &s
		v.IsStale = slices.ContainsFunc(s.Tables, func(t inspector.Table) bool {
			return t.LastUpdateAgeMillis < 0 || t.LastUpdateAgeMillis > staleAfter.Milliseconds()
		})
	}
}

// addGroups adds the groups of the registry with the primaries that the VMs report. Groups that only VMs report are
// left out.
func (o *lineOverview) addGroups(registry cataloger.Registry) {
	groups := map[string]*lineGroup{}
	for _, instance := range registry {
		g, ok := groups[instance.Group]
		if !ok {
			g = &lineGroup{Name: instance.Group}
			groups[instance.Group] = g
		}
		g.Instances = append(g.Instances, groupInstance{ID: instance.ID, DataCentre: instance.DataCentre, Address: instance.Address, IsLeaving: instance.IsLeaving})
	}
	for _, v := range o.VMs {
		if v.Status == nil {
			continue
		}
		for _, view := range v.Status.Groups {
			if g, ok := groups[view.Name]; ok {
				g.countView(view)
			}
		}
	}
	for _, g := range groups {
		slices.SortFunc(g.Instances, func(a, b groupInstance) int { return cmp.Compare(a.ID, b.ID) })
		o.Groups = append(o.Groups, *g)
	}
	slices.SortFunc(o.Groups, func(a, b lineGroup) int { return cmp.Compare(a.Name, b.Name) })
}

// countView counts a VM's view of the primary. A higher term replaces the primary found so far, and the VMs that
// reported the previous one then count as Others.
func (g *lineGroup) countView(view inspector.Group) {
	switch {
	case view.Primary == "" || view.Term < g.Term:
		g.Others++
	case view.Term > g.Term || g.Primary == "":
		g.Others += g.Believers
		g.Primary, g.Term, g.Believers = view.Primary, view.Term, 1
	case view.Primary == g.Primary:
		g.Believers++
	default:
		g.Others++
	}
}

// isHealthy reports whether all VMs answered, are ready and have recent tables, and whether all of them agree on the
// primary of each group.
func (o *lineOverview) isHealthy() bool {
	return !slices.ContainsFunc(o.VMs, func(v lineVM) bool { return v.Status == nil || v.IsStale || !v.Status.IsReady }) &&
		!slices.ContainsFunc(o.Groups, func(g lineGroup) bool { return g.Primary == "" || g.Others > 0 })
}

// writeText prints the overview as text.
func (c *lineStatusCommand) writeText(o *lineOverview) {
	for _, v := range o.VMs {
		line := fmt.Sprintf("%s %s %s", v.ID, v.Address, v.DataCentre)
		switch {
		case v.Status == nil:
			fmt.Fprintf(c.inv.out, "%s: unknown: %s\n", line, v.Unseen)
			continue
		case v.Status.IsStopping:
			line += ": stopping"
		case v.Status.IsReady:
			line += ": ready"
		default:
			line += ": not ready"
		}
		if v.IsStale {
			line += ", its view is old"
		}
		fmt.Fprintf(c.inv.out, "%s, configuration %d, %d sessions", line, v.Status.Configuration, v.Status.Sessions)
		for _, t := range v.Status.Tables {
			if t.LastUpdateAgeMillis < 0 {
				fmt.Fprintf(c.inv.out, ", %s never heard", t.Name)
				continue
			}
			fmt.Fprintf(c.inv.out, ", %s heard %s ago", t.Name, time.Duration(t.LastUpdateAgeMillis)*time.Millisecond)
		}
		fmt.Fprintln(c.inv.out)
	}
	for _, g := range o.Groups {
		primary := g.Primary
		if primary == "" {
			primary = "unknown"
		}
		fmt.Fprintf(c.inv.out, "group %s: primary %s, term %d, known to %d VMs, %d VMs know another or none\n", g.Name, primary, g.Term, g.Believers, g.Others)
		for _, i := range g.Instances {
			leaving := ""
			if i.IsLeaving {
				leaving = " leaving"
			}
			fmt.Fprintf(c.inv.out, "  %s %s %s%s\n", i.ID, i.Address, i.DataCentre, leaving)
		}
	}
}

// lineAuditCommand implements the command line audit.
type lineAuditCommand struct {
	inv     *invocation
	Subject string `long:"subject" description:"list only the changes of this group, or of the configuration if it is 'configuration'; without it, all changes"`
}

// auditEntry adds the subject, which auditor.Entry leaves out of its JSON.
type auditEntry struct {
	Subject string `json:"subject"`
	auditor.Entry
}

// Execute implements flags.Commander.
func (c *lineAuditCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	store, err := c.inv.openStore()
	if err != nil {
		return err
	}
	ctx, cancel := c.inv.newContext()
	defer cancel()
	rows, err := store.Read(ctx, auditor.Table)
	if err != nil {
		return err
	}
	entries := []auditEntry{}
	for _, e := range auditor.Parse(rows.Rows) {
		if c.Subject == "" || e.Subject == c.Subject {
			entries = append(entries, auditEntry{e.Subject, e})
		}
	}
	if c.inv.JSON {
		return c.inv.printJSON(entries)
	}
	for _, e := range entries {
		fmt.Fprintln(c.inv.out, e.text())
	}
	return nil
}

// text returns the line that the command prints for the entry.
func (e auditEntry) text() string {
	text := fmt.Sprintf("%s %s %s", e.At.Format("2006-01-02T15:04:05.000Z07:00"), e.VM, e.Action)
	if e.Action == auditor.Configure {
		text += fmt.Sprintf(" version %d", e.Version)
	} else {
		text += fmt.Sprintf(" %s in group %s, reason %s, token %d", e.Instance, e.Subject, e.Reason, e.Token)
	}
	text += ": " + e.Outcome
	if e.Discarded > 0 {
		text += fmt.Sprintf(" (%d entries of this VM before it are lost)", e.Discarded)
	}
	return text
}
