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
	maxRequestBytes   = 64 << 20 // of a request body
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second // after which open connections are closed
)

// Config holds the settings of a Server.
type Config struct {
	Address string        // to listen on, such as 127.0.0.1:0
	ListLag time.Duration // between a change of a VM and its appearance in the list of VMs
	VMs     []client.VM   // listed from the start
	Faults  Faults        // in force from the start
}

// Counts holds the numbers of requests that arrived at the services, refused ones included.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	Lists  uint64 `json:"lists"` // of the list of VMs
}

// Server is a running emulator.
type Server struct {
	listener  net.Listener
	http      *http.Server
	served    chan struct{} // closed when http has stopped serving
	tables    *tables
	objects   *objects
	vms       *vmList
	injector  *injector
	closing   chan struct{} // closed by Close, to end injected delays
	closeOnce sync.Once     // closes closing

	reads, writes, lists atomic.Uint64
}

// Start starts an emulator, which runs until Close is called.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("platform emulator: %w", err)
	}
	s := &Server{
		listener: listener, served: make(chan struct{}), closing: make(chan struct{}),
		tables: newTables(), objects: newObjects(), vms: newVMList(0), injector: newInjector(),
	}
	for _, v := range cfg.VMs {
		s.vms.change(v, false)
	}
	s.vms.since(0) // lists the VMs at once, since the lag is still 0
	s.vms.lag = cfg.ListLag
	s.SetFaults(cfg.Faults)
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		defer close(s.served)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close stops the server. It waits for requests in progress, but not longer than shutdownTimeout.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closing) })
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	<-s.served
	return err
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.injector.set(f)
	s.vms.setFaults(f.ExtraVMs, f.HiddenVMs)
}

// Faults returns the faults in force. Its LoseAnswers is the number of responses that are still to be lost.
func (s *Server) Faults() Faults { return s.injector.faults() }

// SetVM adds or changes a VM. The list of VMs shows this after the lag.
func (s *Server) SetVM(v client.VM) { s.vms.change(v, false) }

// RemoveVM removes a VM. The list of VMs shows the VM until the lag has passed.
func (s *Server) RemoveVM(id string) { s.vms.change(client.VM{ID: id}, true) }

// Counts returns the numbers of requests that have arrived.
func (s *Server) Counts() Counts {
	return Counts{Reads: s.reads.Load(), Writes: s.writes.Load(), Lists: s.lists.Load()}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tables/{table}/{key}", s.withFaults(&s.reads, false, s.readRow))
	mux.HandleFunc("GET /tables/{table}", s.withFaults(&s.reads, false, s.listRows))
	mux.HandleFunc("POST /transactions", s.withFaults(&s.writes, true, s.applyTransaction))
	mux.HandleFunc("GET /objects/{key}", s.withFaults(&s.reads, false, s.getObject))
	mux.HandleFunc("PUT /objects/{key}", s.withFaults(&s.writes, true, s.putObject))
	mux.HandleFunc("GET /vms", s.withFaults(&s.lists, false, s.listVMs))
	mux.HandleFunc("PUT /control/vms/{id}", s.putVM)
	mux.HandleFunc("DELETE /control/vms/{id}", s.deleteVM)
	mux.HandleFunc("GET /control/faults", s.getFaults)
	mux.HandleFunc("PUT /control/faults", s.putFaults)
	mux.HandleFunc("GET /control/counts", s.getCounts)
	return mux
}

// withFaults returns a handler that counts requests and injects the faults in force: it refuses or delays a request
// before it calls next, and drops the response of a write that next has handled.
func (s *Server) withFaults(counter *atomic.Uint64, isWrite bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		counter.Add(1)
		if s.injector.faults().Out {
			writeRefusal(w, http.StatusServiceUnavailable, client.ErrorResponse{Message: "out of service"})
			return
		}
		if !s.injector.allow(isWrite) {
			writeRefusal(w, http.StatusTooManyRequests, client.ErrorResponse{Message: "rate limit exceeded"})
			return
		}
		if d := s.injector.delay(); d > 0 && !s.sleep(r.Context(), d) {
			panic(http.ErrAbortHandler)
		}
		if !isWrite || !s.injector.loseResponse() {
			next(w, r)
			return
		}
		next(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
}

// discardWriter is the http.ResponseWriter of a response that is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header       { return d.header }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

// sleep waits for a duration. It reports false if the request or the server ends before.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-s.closing:
	}
	return false
}

func (s *Server) readRow(w http.ResponseWriter, r *http.Request) {
	row, ok := s.tables.read(r.PathValue("table"), r.PathValue("key"))
	if !ok {
		writeRefusal(w, http.StatusNotFound, client.ErrorResponse{Message: "row " + r.PathValue("key") + " is absent"})
		return
	}
	writeJSON(w, row)
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, client.ErrorResponse{Message: "limit " + strconv.Quote(q.Get("limit")) + " is not a number"})
		return
	}
	writeJSON(w, s.tables.list(client.Range{Table: r.PathValue("table"), From: q.Get("from"), To: q.Get("to"), Limit: limit}))
}

func (s *Server) applyTransaction(w http.ResponseWriter, r *http.Request) {
	var tx client.Transaction
	if !decodeBody(w, r, &tx) {
		return
	}
	written, conflicts := s.tables.apply(tx)
	if len(conflicts) > 0 {
		first := conflicts[0]
		message := fmt.Sprintf("row %s/%s has version %d, not the expected one", first.Table, first.Key, first.Version)
		writeRefusal(w, http.StatusConflict, client.ErrorResponse{Message: message, Rows: conflicts})
		return
	}
	writeJSON(w, client.Rows{Rows: written})
}

// conditionOf returns the precondition in the header of a request.
func conditionOf(r *http.Request) client.Precondition {
	return client.Precondition{IfMatch: r.Header.Get("If-Match"), IfNoneMatch: r.Header.Get("If-None-Match")}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	o, ok := s.objects.get(r.PathValue("key"))
	cond := conditionOf(r)
	switch {
	case cond.IfMatch != "" && !isMet(client.Precondition{IfMatch: cond.IfMatch}, o.ETag, ok):
		writeRefusal(w, http.StatusPreconditionFailed, client.ErrorResponse{Message: "precondition failed for object " + r.PathValue("key") + "; its ETag, empty if it is absent: " + o.ETag})
	case !ok:
		writeRefusal(w, http.StatusNotFound, client.ErrorResponse{Message: "object " + r.PathValue("key") + " is absent"})
	case !isMet(cond, o.ETag, ok):
		w.Header().Set("ETag", o.ETag)
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("ETag", o.ETag)
		_, _ = w.Write(o.Body)
	}
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, client.ErrorResponse{Message: err.Error()})
		return
	}
	etag, ok := s.objects.put(r.PathValue("key"), b, conditionOf(r))
	if !ok {
		writeRefusal(w, http.StatusPreconditionFailed, client.ErrorResponse{Message: "precondition failed for object " + r.PathValue("key") + "; its ETag, empty if it is absent: " + etag})
		return
	}
	w.Header().Set("ETag", etag)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, client.ErrorResponse{Message: "since " + strconv.Quote(r.URL.Query().Get("since")) + " is not a number"})
		return
	}
	writeJSON(w, s.vms.since(since))
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var v client.VM
	if !decodeBody(w, r, &v) {
		return
	}
	if v.ID != r.PathValue("id") {
		writeRefusal(w, http.StatusBadRequest, client.ErrorResponse{Message: "vm id " + strconv.Quote(v.ID) + " in the body differs from " + strconv.Quote(r.PathValue("id")) + " in the path"})
		return
	}
	s.SetVM(v)
}

func (s *Server) deleteVM(_ http.ResponseWriter, r *http.Request) { s.RemoveVM(r.PathValue("id")) }

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decodeBody(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

// decodeBody decodes the JSON body of a request into v. If it fails, it sends a refusal and reports false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v); err != nil {
		writeRefusal(w, http.StatusBadRequest, client.ErrorResponse{Message: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeRefusal(w http.ResponseWriter, status int, refusal client.ErrorResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal)
}
