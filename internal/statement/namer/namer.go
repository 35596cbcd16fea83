// Package namer gives prepared statements of the same kind and shape the same
// name, so that all sessions and VMs that use a link share what it has prepared.
package namer

import (
	"strconv"
	"sync"

	"parsleyscale/internal/statement/carrier"
)

// maxShapes bounds the table of names; a full table is emptied. Names are not used twice.
const maxShapes = 10_000

// Namer holds the names of one VM. The zero value is ready.
type Namer struct {
	mu    sync.Mutex
	next  int
	known map[shape]string
}

type shape struct {
	verb carrier.Verb
	text string
}

// Name returns the name of the statement that s prepares.
func (n *Namer) Name(s carrier.Statement) string {
	k := shape{s.Prepares, s.Args}
	n.mu.Lock()
	defer n.mu.Unlock()
	if name, ok := n.known[k]; ok {
		return name
	}
	if n.known == nil || len(n.known) >= maxShapes {
		n.known = map[shape]string{}
	}
	n.next++
	name := "p" + strconv.Itoa(n.next)
	n.known[k] = name
	return name
}
