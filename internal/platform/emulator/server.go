package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/platform/client"
)

const (
	maxBody       = 64 << 20 // bytes
	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
)

// Config holds the settings of a server.
type Config struct {
	Address string        // to listen on, such as 127.0.0.1:0
	ListLag time.Duration // between a change of a VM and its appearance in the list
	VMs     []client.VM   // listed from the start
	Faults  Faults
}

// Counts holds how many requests of the services arrived, refused ones included.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	Lists  uint64 `json:"lists"` // of VMs
}

// Server is a running stand-in.
type Server struct {
	l       net.Listener
	http    *http.Server
	done    chan struct{}
	tables  *tables
	objects *objects
	vms     *vmList
	gate    *gate
	closing chan struct{}
	once    sync.Once

	reads, writes, lists atomic.Uint64
}

// Start starts a stand-in.
func Start(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("platform stand-in: %w", err)
	}
	s := &Server{
		l: l, done: make(chan struct{}), closing: make(chan struct{}),
		tables: newTables(), objects: newObjects(), vms: newVMList(0), gate: newGate(),
	}
	for _, v := range cfg.VMs {
		s.vms.change(v, false)
	}
	s.vms.since(0)
	s.vms.lag = cfg.ListLag
	s.SetFaults(cfg.Faults)
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.l.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close stops the server and waits for its requests.
func (s *Server) Close() error {
	s.once.Do(func() { close(s.closing) })
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	<-s.done
	return err
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.gate.set(f)
	s.vms.setWrong(f.ExtraVMs, f.HiddenVMs)
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.gate.faults() }

// SetVM adds or changes a VM; the list shows it after the lag.
func (s *Server) SetVM(v client.VM) { s.vms.change(v, false) }

// RemoveVM removes a VM; the list shows it until the lag has passed.
func (s *Server) RemoveVM(id string) { s.vms.change(client.VM{ID: id}, true) }

// Counts returns how many requests arrived.
func (s *Server) Counts() Counts {
	return Counts{Reads: s.reads.Load(), Writes: s.writes.Load(), Lists: s.lists.Load()}
}

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /tables/{table}/{key}", s.guard(&s.reads, false, s.readRow))
	m.HandleFunc("GET /tables/{table}", s.guard(&s.reads, false, s.listRows))
	m.HandleFunc("POST /transactions", s.guard(&s.writes, true, s.applyTransaction))
	m.HandleFunc("GET /objects/{key}", s.guard(&s.reads, false, s.getObject))
	m.HandleFunc("PUT /objects/{key}", s.guard(&s.writes, true, s.putObject))
	m.HandleFunc("GET /vms", s.guard(&s.lists, false, s.listVMs))
	m.HandleFunc("PUT /control/vms/{id}", s.putVM)
	m.HandleFunc("DELETE /control/vms/{id}", s.deleteVM)
	m.HandleFunc("GET /control/faults", s.getFaults)
	m.HandleFunc("PUT /control/faults", s.putFaults)
	m.HandleFunc("GET /control/counts", s.getCounts)
	return m
}

// guard counts a request, applies the faults that come before an action, and
// drops the answer of a write when the faults say so.
func (s *Server) guard(n *atomic.Uint64, write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		if s.gate.faults().Out {
			refuse(w, http.StatusServiceUnavailable, client.Refusal{Message: "out of service"})
			return
		}
		if !s.gate.allow(write) {
			refuse(w, http.StatusTooManyRequests, client.Refusal{Message: "over the rate limit"})
			return
		}
		if d := s.gate.delay(); d > 0 && !s.wait(r.Context(), d) {
			panic(http.ErrAbortHandler)
		}
		if !write || !s.gate.lose() {
			next(w, r)
			return
		}
		next(discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
}

// discard is the writer of an answer that is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header       { return d.header }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (s *Server) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-s.closing:
	}
	return false
}

func (s *Server) readRow(w http.ResponseWriter, r *http.Request) {
	row, ok := s.tables.read(r.PathValue("table"), r.PathValue("key"))
	if !ok {
		refuse(w, http.StatusNotFound, client.Refusal{Message: "row " + r.PathValue("key") + " is absent"})
		return
	}
	answer(w, row)
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		refuse(w, http.StatusBadRequest, client.Refusal{Message: "limit " + strconv.Quote(q.Get("limit")) + " is not a number"})
		return
	}
	answer(w, s.tables.list(client.Range{Table: r.PathValue("table"), From: q.Get("from"), To: q.Get("to"), Limit: limit}))
}

func (s *Server) applyTransaction(w http.ResponseWriter, r *http.Request) {
	var t client.Transaction
	if !decode(w, r, &t) {
		return
	}
	written, conflicts := s.tables.apply(t)
	if len(conflicts) > 0 {
		c := conflicts[0]
		m := fmt.Sprintf("row %s/%s has version %d", c.Table, c.Key, c.Version)
		refuse(w, http.StatusConflict, client.Refusal{Message: m, Rows: conflicts})
		return
	}
	answer(w, client.Rows{Rows: written})
}

func condition(r *http.Request) client.Condition {
	return client.Condition{IfMatch: r.Header.Get("If-Match"), IfNoneMatch: r.Header.Get("If-None-Match")}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	o, ok := s.objects.get(r.PathValue("key"))
	cond := condition(r)
	switch {
	case cond.IfMatch != "" && !permits(client.Condition{IfMatch: cond.IfMatch}, o.ETag, ok):
		refuse(w, http.StatusPreconditionFailed, client.Refusal{Message: "object " + r.PathValue("key") + " has ETag " + o.ETag})
	case !ok:
		refuse(w, http.StatusNotFound, client.Refusal{Message: "object " + r.PathValue("key") + " is absent"})
	case !permits(cond, o.ETag, ok):
		w.Header().Set("ETag", o.ETag)
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("ETag", o.ETag)
		_, _ = w.Write(o.Body)
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, client.Refusal{Message: err.Error()})
		return
	}
	etag, ok := s.objects.put(r.PathValue("key"), b, condition(r))
	if !ok {
		refuse(w, http.StatusPreconditionFailed, client.Refusal{Message: "object " + r.PathValue("key") + " has ETag " + etag})
		return
	}
	w.Header().Set("ETag", etag)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, client.Refusal{Message: "since is not a number"})
		return
	}
	answer(w, s.vms.since(since))
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var v client.VM
	if !decode(w, r, &v) {
		return
	}
	if v.ID != r.PathValue("id") {
		refuse(w, http.StatusBadRequest, client.Refusal{Message: "vm " + strconv.Quote(v.ID) + " differs from the path"})
		return
	}
	s.SetVM(v)
}

func (s *Server) deleteVM(_ http.ResponseWriter, r *http.Request) { s.RemoveVM(r.PathValue("id")) }

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { answer(w, s.Faults()) }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { answer(w, s.Counts()) }

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		refuse(w, http.StatusBadRequest, client.Refusal{Message: err.Error()})
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, f client.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
}
