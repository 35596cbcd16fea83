package conductor

import (
	"strconv"
	"sync"

	"parsleyscale/internal/statement/carrier"
)

// maxShapes bounds the table of names; a full table is emptied. Names are not used twice.
const maxShapes = 10_000

// names gives prepared statements of the same kind and shape the same name, so
// that all sessions share what a link has prepared.
type names struct {
	mu    sync.Mutex
	next  int
	known map[shape]string
}

type shape struct {
	verb carrier.Verb
	text string
}

func (n *names) name(st carrier.Statement) string {
	k := shape{st.Prepares, st.Args}
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.known[k]; ok {
		return s
	}
	if n.known == nil || len(n.known) >= maxShapes {
		n.known = map[shape]string{}
	}
	n.next++
	s := "p" + strconv.Itoa(n.next)
	n.known[k] = s
	return s
}
