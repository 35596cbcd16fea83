package forwarder

import (
	"io"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// reusableFrontend is a pgproto3.Frontend whose reader can be replaced. A
// Frontend has a buffer of 8 KB, so it is reused for later units.
type reusableFrontend struct {
	*pgproto3.Frontend
	source *replaceableReader
}

// replaceableReader reads from r, which may be replaced between reads.
type replaceableReader struct{ r io.Reader }

// Read reads from the current reader.
func (s *replaceableReader) Read(p []byte) (int, error) { return s.r.Read(p) }

// frontendPool holds frontends that have no buffered input.
type frontendPool struct{ pool sync.Pool }

var frontends frontendPool

// get returns a frontend that reads from r.
func (p *frontendPool) get(r io.Reader) *reusableFrontend {
	if f, ok := p.pool.Get().(*reusableFrontend); ok {
		f.source.r = r
		return f
	}
	s := &replaceableReader{r: r}
	return &reusableFrontend{Frontend: pgproto3.NewFrontend(s, io.Discard), source: s}
}

// put returns f to the pool, unless it still buffers input, which the next unit would read.
func (p *frontendPool) put(f *reusableFrontend) {
	if f.ReadBufferLen() > 0 {
		return
	}
	f.source.r = nil
	p.pool.Put(f)
}
