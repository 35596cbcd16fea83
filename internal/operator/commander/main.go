package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/sheet/distributor"
	"parsleyscale/internal/sheet/parser"
)

// options holds the flags that all commands accept.
type options struct {
	Platform string        `long:"platform" env:"PARSLEYSCALE_PLATFORM" description:"URL of the platform service"`
	Store    string        `long:"store" env:"PARSLEYSCALE_STORE" description:"address (host:port) of the store of the users' platform, which the line commands read"`
	JSON     bool          `long:"json" description:"print the result as JSON"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"time limit of the command"`
}

// invocation holds the global options and the output streams of one run of parsleyctl.
type invocation struct {
	options
	line UsersPlatform
	out  io.Writer
	err  io.Writer
}

// command describes one command for the parser. The name of its parent command is empty for a top-level command.
type command struct {
	parent, name string
	description  string
	newCommander func(*invocation) flags.Commander
}

// commands lists all commands.
var commands = []command{
	{"sheet", "check", "check a sheet file without contacting the platform", func(inv *invocation) flags.Commander { return &checkCommand{inv: inv} }},
	{"sheet", "diff", "show what applying a sheet file would change", func(inv *invocation) flags.Commander { return &diffCommand{inv: inv} }},
	{"sheet", "apply", "make a sheet file the current sheet", func(inv *invocation) flags.Commander { return &applyCommand{inv: inv} }},
	{"sheet", "show", "print the current sheet", func(inv *invocation) flags.Commander { return &showCommand{inv: inv} }},
	{"sheet", "history", "list the versions of the sheet", func(inv *invocation) flags.Commander { return &historyCommand{inv: inv} }},
	{"line", "status", "show the VMs, instances and primaries on the users' platform", func(inv *invocation) flags.Commander { return &lineStatusCommand{inv: inv} }},
	{"line", "audit", "list configuration changes and promotions on the users' platform", func(inv *invocation) flags.Commander { return &lineAuditCommand{inv: inv} }},
	{"line", "explain", "ask a VM where it would route a request now, without sending it", func(inv *invocation) flags.Commander { return &lineExplainCommand{inv: inv} }},
	{"", "status", "query all VMs for their state", func(inv *invocation) flags.Commander { return &statusCommand{inv: inv} }},
	{"", "audit", "list the changes of the sheet and who made them", func(inv *invocation) flags.Commander { return &auditCommand{inv: inv} }},
	{"", "drain", "set the state of an instance to leaving", func(inv *invocation) flags.Commander { return &drainCommand{inv: inv} }},
}

// Main runs the command that args name and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer, line UsersPlatform) int {
	inv := &invocation{line: line, out: stdout, err: stderr}
	flagParser, err := newParser(inv)
	if err == nil {
		_, err = flagParser.ParseArgs(args)
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(stdout, err)
		fmt.Fprint(stdout, "\n", exitCodeHelp())
		return ExitOK
	}
	if err != nil {
		inv.printError(err)
	}
	return exitCode(err)
}

// newParser returns the command line parser with all commands, which run with inv.
func newParser(inv *invocation) (*flags.Parser, error) {
	flagParser := flags.NewNamedParser("parsleyctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := flagParser.AddGroup("Options", "", &inv.options); err != nil {
		return nil, err
	}
	parents := map[string]*flags.Command{"": flagParser.Command}
	for name, description := range map[string]string{"sheet": "check, compare, apply and list sheets", "line": "inspect VMs and changes on the users' platform"} {
		c, err := flagParser.AddCommand(name, description, "", &struct{}{})
		if err != nil {
			return nil, err
		}
		parents[name] = c
	}
	for _, c := range commands {
		if _, err := parents[c.parent].AddCommand(c.name, c.description, "", c.newCommander(inv)); err != nil {
			return nil, err
		}
	}
	return flagParser, nil
}

// printError writes an error to the error stream. With --json it also prints it as JSON on the output stream, except
// after a status, which has already printed its JSON.
func (inv *invocation) printError(err error) {
	fmt.Fprintln(inv.err, "parsleyctl:", errorMessage(err))
	if !inv.JSON {
		return
	}
	output := struct {
		Kind     classifier.Kind       `json:"kind"`
		Exit     int                   `json:"exit"`
		Message  string                `json:"message"`
		Conflict *distributor.Conflict `json:"conflict,omitempty"`
	}{Kind: classifier.KindOf(err), Exit: exitCode(err), Message: errorMessage(err)}
	errors.As(err, &output.Conflict)
	if !errors.Is(err, errUnhealthy) && !errors.Is(err, errLineUnhealthy) {
		_ = inv.printJSON(output)
	}
}

// errorMessage returns the text to print for an error. For a conflict it also shows the change that came first.
func errorMessage(err error) string {
	var c *distributor.Conflict
	if errors.As(err, &c) {
		return c.Error()
	}
	return classifier.Message(err)
}

// printJSON writes a value to the output stream as indented JSON.
func (inv *invocation) printJSON(v any) error {
	enc := json.NewEncoder(inv.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// newContext returns the context of a command, which ends after the time limit.
func (inv *invocation) newContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), inv.Timeout)
}

func (inv *invocation) newClient() (*client.Client, error) {
	if inv.Platform == "" {
		return nil, usagef("platform URL is not set by --platform or PARSLEYSCALE_PLATFORM")
	}
	c, err := client.New(client.Config{URL: inv.Platform, CallTimeout: inv.Timeout})
	if err != nil {
		return nil, usagef("%s", classifier.Message(err))
	}
	return c, nil
}

func (inv *invocation) newAcceptor() (*distributor.Acceptor, error) {
	c, err := inv.newClient()
	if err != nil {
		return nil, err
	}
	return distributor.NewAcceptor(c), nil
}

// currentSheet returns the current sheet and its version.
func (inv *invocation) currentSheet() (uint64, parser.Sheet, error) {
	acceptor, err := inv.newAcceptor()
	if err != nil {
		return 0, parser.Sheet{}, err
	}
	ctx, cancel := inv.newContext()
	defer cancel()
	return acceptor.Current(ctx)
}

// readSheet reads and checks a sheet file.
func readSheet(file string) (parser.Sheet, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return parser.Sheet{}, usagef("%s", err)
	}
	sheet, err := parser.Decode(b)
	if err != nil {
		return sheet, classifier.New(classifier.KindOf(err), "%s: %s", file, classifier.Message(err))
	}
	return sheet, nil
}

// rejectArguments returns a usage error if a command that takes no further arguments got one.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}
