package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// link is the network link of one VM to the store and to the other VMs, which can be cut. While it is cut, connections
// over it are open but carry nothing in either direction, and new ones are not answered.
type link struct {
	mu      sync.Mutex
	isCut   bool
	changed chan struct{} // closed and replaced at each change
}

func newLink() *link { return &link{changed: make(chan struct{})} }

func (l *link) setCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = on
	close(l.changed)
	l.changed = make(chan struct{})
}

// pass waits until the link is not cut.
func (l *link) pass() {
	for {
		l.mu.Lock()
		isCut, changed := l.isCut, l.changed
		l.mu.Unlock()
		if !isCut {
			return
		}
		<-changed
	}
}

// relay listens on an address and passes connections on to another one over the link.
func (l *link) relay(listen, target string) (string, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c, target)
		}
	}()
	return ln.Addr().String(), nil
}

func (l *link) serve(c net.Conn, target string) {
	defer func() { _ = c.Close() }()
	l.pass()
	d, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			if n > 0 {
				l.pass()
				if _, writeErr := to.Write(b[:n]); writeErr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go forward(d, c)
	go forward(c, d)
	<-done
}

// storeView serves the store to one VM over its link. In the table of VMs, it replaces the addresses of the others by those of
// relays on the link, so that a cut of the link separates the VM from them.
type storeView struct {
	link   *link
	store  string
	relays *strings.Replacer
}

// serve starts the view and returns its address.
func (s *storeView) serve() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Second}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (s *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.link.pass()
	if r.Context().Err() != nil {
		return // the call was lost
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.store+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header = r.Header.Clone()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return
	}
	s.link.pass()
	if r.URL.Query().Get("table") == "vms" {
		b = s.withRelays(b)
	}
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(b)
}

// withRelays replaces the addresses in the rows of a page.
func (s *storeView) withRelays(b []byte) []byte {
	var p map[string]any
	if json.Unmarshal(b, &p) != nil {
		return b
	}
	rows, _ := p["rows"].([]any)
	for _, r := range rows {
		row, _ := r.(map[string]any)
		text, _ := row["value"].(string)
		if value, err := base64.StdEncoding.DecodeString(text); err == nil {
			row["value"] = base64.StdEncoding.EncodeToString([]byte(s.relays.Replace(string(value))))
		}
	}
	if changed, err := json.Marshal(p); err == nil {
		return changed
	}
	return b
}
