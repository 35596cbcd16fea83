// Package runner runs scenarios: it starts a deployment, loads it, makes
// faults, and measures what callers saw.
package runner
