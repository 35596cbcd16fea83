package forwarder

import (
	"io"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// frontend is a pgproto3.Frontend whose source can be changed. A Frontend has
// a buffer of 8 KB, which is worth keeping between units.
type frontend struct {
	*pgproto3.Frontend
	source *source
}

type source struct{ r io.Reader }

// Read reads from the current source.
func (s *source) Read(p []byte) (int, error) { return s.r.Read(p) }

// frontendPool keeps frontends that have read their source to its end.
type frontendPool struct{ pool sync.Pool }

var frontends frontendPool

func (p *frontendPool) get(r io.Reader) *frontend {
	if f, ok := p.pool.Get().(*frontend); ok {
		f.source.r = r
		return f
	}
	s := &source{r: r}
	return &frontend{Frontend: pgproto3.NewFrontend(s, io.Discard), source: s}
}

func (p *frontendPool) put(f *frontend) {
	if f.ReadBufferLen() > 0 {
		return
	}
	f.source.r = nil
	p.pool.Put(f)
}
