// Package emulator emulates the platform for tests: a transactional table service, an object store and a list of VMs,
// with faults that can be injected at run time over HTTP or by methods.
//
// It keeps everything in memory. Tests of outcomes can rely on two rules: a response with status 429 or 503 is sent
// before the action, and a lost response is lost after the action took effect.
package emulator
