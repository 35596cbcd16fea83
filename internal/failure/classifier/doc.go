// Package classifier defines the error kinds and the answer that a client gets for
// each of them.
//
// A client must be able to tell from the answer alone whether its request took
// effect and whether it may be repeated. The kinds and their SQLSTATEs are part of
// the external interface: new ones may be added, but renaming one breaks clients.
package classifier
