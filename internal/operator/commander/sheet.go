package commander

import (
	"fmt"

	"github.com/google/uuid"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/sheet/distributor"
	"parsleyscale/internal/sheet/parser"
)

// sheetArgument is the positional argument that names a sheet file.
type sheetArgument struct {
	File string `positional-arg-name:"FILE" required:"yes" description:"file with a sheet in JSON with comments"`
}

// checkCommand implements the command sheet check.
type checkCommand struct {
	inv  *invocation
	Args sheetArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	sheet, err := readSheet(c.Args.File)
	if err != nil {
		return err
	}
	counts := struct {
		Deployment string `json:"deployment"`
		Services   int    `json:"services"`
		Databases  int    `json:"databases"`
		Instances  int    `json:"instances"`
	}{Deployment: sheet.Deployment, Services: len(sheet.Services)}
	for _, service := range sheet.Services {
		counts.Databases += len(service.Databases)
		for _, database := range service.Databases {
			counts.Instances += len(database.Instances)
		}
	}
	if c.inv.JSON {
		return c.inv.printJSON(counts)
	}
	_, err = fmt.Fprintf(c.inv.out, "%s: ok: deployment %s, services %d, databases %d, instances %d\n", c.Args.File, counts.Deployment, counts.Services, counts.Databases, counts.Instances)
	return err
}

// diffCommand implements the command sheet diff.
type diffCommand struct {
	inv     *invocation
	Against string        `long:"against" description:"file with the sheet to compare with instead of the current sheet"`
	Args    sheetArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	proposed, err := readSheet(c.Args.File)
	if err != nil {
		return err
	}
	var output struct {
		Version uint64        `json:"version,omitempty"` // of the current sheet; absent if there is none, or with --against
		Diff    parser.Change `json:"difference"`
	}
	var base parser.Sheet
	if c.Against != "" {
		base, err = readSheet(c.Against)
	} else {
		output.Version, base, err = c.inv.currentSheet()
	}
	if err != nil {
		return err
	}
	output.Diff = parser.Diff(base, proposed)
	if c.inv.JSON {
		return c.inv.printJSON(output)
	}
	if c.Against == "" {
		fmt.Fprintf(c.inv.out, "version in force: %d\n", output.Version)
	}
	if output.Diff.Empty() {
		_, err = fmt.Fprintln(c.inv.out, "no difference")
		return err
	}
	_, err = fmt.Fprint(c.inv.out, output.Diff.Text())
	return err
}

// changeOptions holds the options of the commands that change the sheet.
type changeOptions struct {
	Who    string `long:"who" env:"USER" description:"name of the operator in the audit record"`
	Change string `long:"change" description:"identity of the change; to repeat a change whose outcome is unknown, give the same identity again"`
}

// ensureChangeID checks that an operator is named, and generates a change identity if none was given. It prints the
// generated identity before the change is sent, so that the operator has it even if the answer is lost.
func (o *changeOptions) ensureChangeID(inv *invocation) error {
	if o.Who == "" {
		return usagef("operator name is not set by --who or USER")
	}
	if o.Change != "" {
		return nil
	}
	id, err := uuid.NewV7()
	if err != nil {
		return err
	}
	o.Change = id.String()
	_, err = fmt.Fprintf(inv.err, "change identity %s\n", o.Change)
	return err
}

// accept makes sheet the current sheet if base is still the current version.
func (o *changeOptions) accept(inv *invocation, base uint64, sheet parser.Sheet) (distributor.Record, error) {
	acceptor, err := inv.newAcceptor()
	if err != nil {
		return distributor.Record{}, err
	}
	ctx, cancel := inv.newContext()
	defer cancel()
	return acceptor.Accept(ctx, o.Who, o.Change, base, sheet)
}

// printAccepted prints the record of an accepted change.
func (inv *invocation) printAccepted(r distributor.Record) error {
	if inv.JSON {
		return inv.printJSON(r)
	}
	outcome := "accepted"
	if r.AlreadyAccepted {
		outcome = "accepted before"
	}
	_, err := fmt.Fprintf(inv.out, "version %d %s\n%s", r.Version, outcome, r.Diff.Text())
	return err
}

// applyCommand implements the command sheet apply.
type applyCommand struct {
	inv *invocation
	changeOptions
	Base *uint64       `long:"base" required:"yes" description:"version that the sheet is based on; 0 for the first sheet"`
	Args sheetArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	sheet, err := readSheet(c.Args.File)
	if err != nil {
		return err
	}
	if err := c.ensureChangeID(c.inv); err != nil {
		return err
	}
	r, err := c.accept(c.inv, *c.Base, sheet)
	if err != nil {
		return err
	}
	return c.inv.printAccepted(r)
}

// showCommand implements the command sheet show.
type showCommand struct{ inv *invocation }

// Execute implements flags.Commander.
func (c *showCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	version, sheet, err := c.inv.currentSheet()
	if err != nil {
		return err
	}
	if c.inv.JSON {
		return c.inv.printJSON(struct {
			Version uint64       `json:"version"`
			Sheet   parser.Sheet `json:"sheet"`
		}{version, sheet})
	}
	if version == 0 {
		return classifier.New(classifier.NotReady, "the store holds no sheet")
	}
	fmt.Fprintf(c.inv.out, "// version %d\n", version)
	return c.inv.printJSON(sheet)
}

// maxDrainAttempts limits how often a drain is tried when other changes are accepted first.
const maxDrainAttempts = 5

// drainCommand implements the command drain.
type drainCommand struct {
	inv *invocation
	changeOptions
	Args struct {
		Instance string `positional-arg-name:"INSTANCE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. After a conflict it tries again on the new sheet, because draining an instance
// is still what the operator wants whatever else has changed.
func (c *drainCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if err := c.ensureChangeID(c.inv); err != nil {
		return err
	}
	var err error
	for range maxDrainAttempts {
		var version uint64
		var sheet parser.Sheet
		if version, sheet, err = c.inv.currentSheet(); err != nil {
			return err
		}
		state, ok := instanceState(sheet, c.Args.Instance)
		switch {
		case !ok:
			return usagef("instance %q is not in version %d of the sheet", c.Args.Instance, version)
		case state == parser.Leaving:
			return c.printAlreadyLeaving(version)
		}
		var r distributor.Record
		if r, err = c.accept(c.inv, version, sheet.WithInstanceState(c.Args.Instance, parser.Leaving)); err == nil {
			return c.inv.printAccepted(r)
		}
		if !classifier.Is(err, classifier.Conflict) {
			return err
		}
	}
	return err
}

// printAlreadyLeaving reports that the instance needs no change.
func (c *drainCommand) printAlreadyLeaving(version uint64) error {
	if c.inv.JSON {
		return c.inv.printJSON(struct {
			Version        uint64 `json:"version"`
			AlreadyLeaving string `json:"alreadyLeaving"`
		}{version, c.Args.Instance})
	}
	_, err := fmt.Fprintf(c.inv.out, "instance %s is leaving already in version %d\n", c.Args.Instance, version)
	return err
}

// instanceState returns the state of an instance in a sheet and whether the sheet contains the instance.
func instanceState(sheet parser.Sheet, instance string) (parser.State, bool) {
	for _, service := range sheet.Services {
		for _, database := range service.Databases {
			if i, ok := database.Instance(instance); ok {
				return i.State, true
			}
		}
	}
	return "", false
}
