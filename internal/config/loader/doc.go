// Package loader reads and checks the settings of a process.
//
// Settings are JSON with comments. Errors name the file, the line and the field, because an operator who replaces
// hundreds of VMs must be able to find the cause from a single log line. Unknown fields are errors, because a misspelled
// limit would otherwise silently keep its default.
package loader
