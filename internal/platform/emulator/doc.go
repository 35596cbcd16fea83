// Package emulator is the stand-in for the platform: a transactional table
// service, an object store and a list of VMs, with faults that can be set at
// run time over HTTP or by methods.
//
// It keeps everything in memory. Two rules make its faults useful for proofs:
// a refusal with status 429 or 503 is sent before the action, and a lost answer
// is lost after the action took effect.
package emulator
