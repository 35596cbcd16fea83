// Package loader reads and checks the settings of a process.
//
// Settings are JSON with comments. A fault is reported with file, line and
// field, because an operator who replaces VMs by the hundred has to find it
// from one log line. Unknown fields are errors: a misspelled limit would
// otherwise be a limit that is silently not set.
package loader
