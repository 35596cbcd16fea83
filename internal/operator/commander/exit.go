package commander

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"parsleyscale/internal/failure/classifier"
)

// Exit codes of parsleyctl. Scripts depend on them, so they do not change.
const (
	ExitOK                  = 0
	ExitFault               = 1
	ExitUsage               = 2
	ExitConflict            = 3
	ExitPlatformUnavailable = 4
	ExitInvalidSheet        = 5
)

// ExitCode describes an exit code.
type ExitCode struct {
	Code  int
	Kinds []classifier.Kind // error kinds that lead to this code
	Title string
}

// exitTable describes each exit code. Error kinds that it does not list lead to ExitFault.
var exitTable = []ExitCode{
	{ExitOK, nil, "success"},
	{ExitFault, nil, "other error, or a status command found VMs that did not answer, are not ready, are behind the store or disagree on a primary"},
	{ExitUsage, nil, "wrong usage: unknown command, option, argument or name"},
	{ExitConflict, []classifier.Kind{classifier.Conflict, classifier.KeyReuse}, "another change was accepted first, or the change identity belongs to another change"},
	{ExitPlatformUnavailable, []classifier.Kind{classifier.PlatformUnavailable, classifier.Timeout}, "platform cannot be reached; a change may have been accepted: repeat it with the same change identity"},
	{ExitInvalidSheet, []classifier.Kind{classifier.Invalid}, "sheet is invalid"},
}

// Exits returns a copy of the table of exit codes.
func Exits() []ExitCode { return append([]ExitCode(nil), exitTable...) }

// usageError is an error in the command line.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// errUnhealthy is returned by the status command, whose output already shows what is wrong.
var errUnhealthy = errors.New("status: not all VMs are seen, ready and at the version of the store")

// errLineUnhealthy is the equivalent of errUnhealthy for the line status command.
var errLineUnhealthy = errors.New("line status: not all VMs are seen, ready and up to date, or they disagree on a primary")

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var flagsErr *flags.Error
	var usageErr usageError
	if errors.As(err, &flagsErr) || errors.As(err, &usageErr) {
		return ExitUsage
	}
	kind := classifier.KindOf(err)
	for _, e := range exitTable {
		for _, k := range e.Kinds {
			if k == kind {
				return e.Code
			}
		}
	}
	return ExitFault
}

// exitCodeHelp returns the part of the help that explains the exit codes.
func exitCodeHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for _, e := range exitTable {
		fmt.Fprintf(&b, "  %d  %s\n", e.Code, e.Title)
	}
	return b.String()
}
