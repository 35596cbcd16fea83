// Package runner starts the components of the daemon of an entry VM in order of their dependencies, and stops them.
package runner
