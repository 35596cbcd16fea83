package runner

import (
	"context"
	"net"
	"net/http"
	"time"
)

// adminTimeout bounds the time to read the header of a request, and the time to shut the admin server down.
const adminTimeout = time.Second

// adminServer is the HTTP server for metrics, health and readiness.
type adminServer struct {
	ln   net.Listener
	http *http.Server
	done chan struct{}
}

func (d *Daemon) startAdmin() error {
	ln, err := net.Listen("tcp", d.cfg.AdminAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.meter.Handler())
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /ready", d.serveReady)
	a := &adminServer{ln: ln, http: &http.Server{Handler: mux, ReadHeaderTimeout: adminTimeout}, done: make(chan struct{})}
	go func() {
		defer close(a.done)
		_ = a.http.Serve(ln)
	}()
	d.admin = a
	return nil
}

// serveReady answers with status 503 and the reason if the VM is not ready.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := d.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *adminServer) addr() string { return a.ln.Addr().String() }

// close waits up to adminTimeout for requests in progress, then closes their connections.
func (a *adminServer) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	err := a.http.Shutdown(ctx)
	if err != nil {
		err = a.http.Close()
	}
	<-a.done
	return err
}
