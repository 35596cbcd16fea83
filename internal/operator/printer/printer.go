// Package printer generates the reference pages from the tables that the code uses, so that a page cannot name an error
// kind, an event or a setting that does not exist.
package printer

import (
	"fmt"
	"strings"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/router"
	"parsleyscale/internal/telemetry/logger"
)

// Page is one reference page.
type Page struct {
	Name  string // name of the file in docs/reference, without the extension
	Title string
	Print func() string
}

// pages lists all reference pages.
var pages = []Page{
	{"errors", "Error kinds", printErrors},
	{"events", "Log events", printEvents},
	{"settings", "Settings of a VM", printSettings},
	{"line-settings", "Settings of a VM on the users' platform", printLineSettings},
	{"reasons", "Reason codes of routes", printReasons},
}

// Pages returns all reference pages as a new slice.
func Pages() []Page { return append([]Page(nil), pages...) }

// heading returns the start of a page.
func heading(title, introduction string) string {
	return fmt.Sprintf("# %s\n\n%s\n\nGenerated from a table in the code; do not edit.\n\n", title, introduction)
}

func printErrors() string {
	var b strings.Builder
	b.WriteString(heading("Error kinds", "The Detail field of an error response contains `kind`, `ran` and `repeat`. `ran` tells whether the request took effect.\n`repeat` tells when it may be repeated: `safe` (always), `withKey` (only with the same request key) or `never`."))
	b.WriteString("| kind | SQLSTATE | ran | repeat | meaning | what to do |\n|---|---|---|---|---|---|\n")
	for _, answer := range classifier.Answers() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", answer.Kind, answer.SQLSTATE, answer.Ran, answer.Retry, answer.Title, answer.Action)
	}
	return b.String()
}

func printEvents() string {
	var b strings.Builder
	b.WriteString(heading("Log events", "Each event is one line of key=value pairs. The key `event` holds its name."))
	b.WriteString("| event | meaning |\n|---|---|\n")
	for _, r := range logger.Table() {
		fmt.Fprintf(&b, "| `%s` | %s |\n", r.Event, r.Title)
	}
	return b.String()
}

func printSettings() string {
	var b strings.Builder
	b.WriteString(heading("Settings of a VM", "Settings are JSON with comments. Durations are strings such as `300ms`."))
	writeSettings(&b, loader.Table())
	return b.String()
}

func printLineSettings() string {
	var b strings.Builder
	b.WriteString(heading("Settings of a VM on the users' platform", "Settings are JSON with comments; `deploy/entry.jsonc` is the template. After SIGHUP the process reloads `stopGrace` and\n`stopNotice`. Invalid settings change nothing."))
	writeSettings(&b, loader.LineTable())
	return b.String()
}

// writeSettings writes the table of a settings page.
func writeSettings(b *strings.Builder, rows []loader.SettingDescription) {
	b.WriteString("| field | type | meaning |\n|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", r.Field, r.Type, r.Text)
	}
}

func printReasons() string {
	var b strings.Builder
	b.WriteString(heading("Reason codes of routes", "`SHOW parsleyscale.reason` returns a reason code, and the metric `parsleyscale.units` has it as the attribute `reason`."))
	b.WriteString("| reason | meaning |\n|---|---|\n")
	for _, r := range router.Reasons() {
		fmt.Fprintf(&b, "| `%s` | %s |\n", r.Reason, r.Description)
	}
	return b.String()
}
