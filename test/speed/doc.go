// Package speed compares the path through a VM with a direct connection to the
// same stand-in instance, side by side in one run, and measures the memory of idle callers.
package speed
