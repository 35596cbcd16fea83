// Package runner assembles the daemon of an entry VM from its parts and stops it in order.
package runner
