// Package client is a client of the platform over HTTP and JSON: of its transactional table service, its object store
// and its list of VMs.
//
// Every attempt and every call has a deadline. Reads, and writes that certainly did not take effect, are retried with
// jittered exponential backoff. A write whose response was lost is not retried, because only its author can tell from
// the stored rows whether it took effect.
package client
