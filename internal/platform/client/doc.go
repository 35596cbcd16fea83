// Package client talks to the platform: its transactional table service, its
// object store and its list of VMs, over HTTP and JSON.
//
// Every attempt and every call has a deadline. Reads and writes that certainly
// took no effect are repeated with jittered backoff. A write whose answer was
// lost is not repeated here, because only its author can tell from the stored
// rows whether it took effect.
package client
