// Package namer assigns the same name to prepared statements of the same type and
// text. All sessions and VMs that use a connection to an instance thus share the
// statements prepared on it.
package namer

import (
	"crypto/sha256"
	"strconv"
	"sync"

	"parsleyscale/internal/statement/carrier"
)

// maxNames limits the table of names. A full table is cleared, and its names are not assigned again.
const maxNames = 10_000

// Namer holds the names of prepared statements of one VM. The zero value is ready
// for use, and its methods may be called concurrently.
type Namer struct {
	mu         sync.Mutex
	lastNumber int // number in the most recently assigned name
	names      map[statementKey]string
}

// statementKey identifies a prepared statement by its type and the hash of its text. The texts themselves, of up to 1 MiB each,
// would take more memory than a VM has. Clients choose them, so the hash must be one for which no collisions can be found.
type statementKey struct {
	verb carrier.Verb
	hash [sha256.Size]byte
}

// Name returns the name for the statement that s prepares.
func (n *Namer) Name(s carrier.Statement) string {
	key := statementKey{s.PreparedVerb, sha256.Sum256([]byte(s.Args))}
	n.mu.Lock()
	defer n.mu.Unlock()
	if name, ok := n.names[key]; ok {
		return name
	}
	if n.names == nil || len(n.names) >= maxNames {
		n.names = map[statementKey]string{}
	}
	n.lastNumber++
	name := "p" + strconv.Itoa(n.lastNumber)
	n.names[key] = name
	return name
}
