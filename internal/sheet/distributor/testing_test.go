package distributor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/platform/emulator"
	"parsleyscale/internal/sheet/parser"
)

func example(t testing.TB) parser.Sheet {
	t.Helper()
	b, err := os.ReadFile("../../../examples/kavango.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	s, err := parser.Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// withSlots returns a sheet whose first instance has n slots.
func withSlots(s parser.Sheet, n int) parser.Sheet {
	s = s.WithInstanceState("tickets-rundu-1", parser.Serving)
	s.Services[0].Databases[0].Instances[0].Slots = n
	s.Services[0].Databases[0].Instances[0].Connections = max(n, 40)
	return s
}

func startPlatform(t testing.TB) (*emulator.Server, *client.Client) {
	t.Helper()
	s, err := emulator.Start(emulator.Config{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	c, err := client.New(client.Config{URL: s.URL(), Timeout: 300 * time.Millisecond, Tries: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return s, c
}

func accept(t testing.TB, s Store, identity string, base uint64, sheet parser.Sheet) Record {
	t.Helper()
	r, err := NewAcceptor(s).Accept(context.Background(), "planner", identity, base, sheet)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// memStore is a store inside a synctest bubble.
type memStore struct {
	mu    sync.Mutex
	rows  map[string]client.Row
	out   bool
	times []time.Time // of calls
}

func newMemStore() *memStore { return &memStore{rows: map[string]client.Row{}} }

func (m *memStore) enter() error {
	m.times = append(m.times, time.Now())
	if m.out {
		return classifier.New(classifier.PlatformUnavailable, "out")
	}
	return nil
}

func (m *memStore) setOut(out bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.out, m.times = out, nil
}

// requests returns when the store was called since setOut.
func (m *memStore) requests() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.times)
}

func (m *memStore) Read(_ context.Context, table, key string) (client.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[table+"/"+key], m.enter()
}

func (m *memStore) List(_ context.Context, rg client.Range) (client.Rows, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list client.Rows
	for k, r := range m.rows {
		if r.Table == rg.Table && r.Key >= rg.From && (rg.To == "" || r.Key < rg.To) && k != "" {
			list.Rows = append(list.Rows, r)
		}
	}
	slices.SortFunc(list.Rows, func(a, b client.Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	if len(list.Rows) > rg.Limit {
		list.Rows, list.More = list.Rows[:rg.Limit], true
	}
	return list, m.enter()
}

func (m *memStore) Apply(_ context.Context, t client.Transaction) (client.Rows, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range t.Writes {
		if m.rows[w.Table+"/"+w.Key].Version != w.Expected {
			return client.Rows{}, classifier.New(classifier.Conflict, "row %s", w.Key)
		}
	}
	for _, w := range t.Writes {
		m.rows[w.Table+"/"+w.Key] = client.Row{Table: w.Table, Key: w.Key, Version: w.Expected + 1, Value: w.Value}
	}
	return client.Rows{}, m.enter()
}

// fleet is a set of VMs of one data centre, ranked in their order.
type fleet struct {
	mu   sync.Mutex
	list []tracker.Member
	vms  map[string]*vm // by address
}

type vm struct {
	member  tracker.Member
	d       *Distributor
	tracker *tracker.Tracker // only over loopback
	http    *http.Server
	down    atomic.Bool
	silent  atomic.Bool
	wholes  atomic.Uint64 // answers with a whole sheet
	asked   atomic.Uint64
}

func newFleet() *fleet { return &fleet{vms: map[string]*vm{}} }

func (f *fleet) Members() []tracker.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list)
}

func (f *fleet) Ranked(_, _ string) []tracker.Member { return f.Members() }
func (*fleet) Report(string, error)                  {}

// add starts a VM that calls its peers directly.
func (f *fleet) add(id string, s Source) *vm {
	v := &vm{member: tracker.Member{ID: id, Address: id, DataCentre: "dc", State: tracker.Live}}
	f.mu.Lock() // until the distributor is set, because its peers call it at once
	defer f.mu.Unlock()
	f.list = append(f.list, v.member)
	f.vms[id] = v
	v.d = New(Config{Self: v.member, Store: s, Members: f, Dial: f.dial})
	return v
}

func (f *fleet) close() {
	for _, m := range f.Members() {
		f.vms[m.Address].d.Close()
	}
}

func (f *fleet) dial(address string) Watcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[address]
}

// WatchSheet fails while the VM is down, and does not answer while it is silent.
func (v *vm) WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error) {
	v.asked.Add(1)
	if v.down.Load() {
		return nil, errors.New(v.member.ID + " is down")
	}
	if v.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, err := v.d.WatchSheet(ctx, r)
	if err == nil && len(a.Whole) > 0 {
		v.wholes.Add(1)
	}
	return a, err
}

// twirpServer offers the calls of sheets and members.
type twirpServer struct {
	messenger.Peer
	v *vm
}

func (s twirpServer) WatchSheet(ctx context.Context, r *messenger.WatchSheetRequest) (*messenger.WatchSheetResponse, error) {
	return s.v.WatchSheet(ctx, r)
}

func (s twirpServer) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return s.v.tracker.Exchange(ctx, r)
}

// countedConn counts the bytes that a VM sends and receives.
type countedConn struct {
	net.Conn
	n *atomic.Uint64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(uint64(n))
	return n, err
}

// traffic counts the bytes of the connections that VMs open, in both directions.
type traffic struct{ sheets, members atomic.Uint64 }

// startOverLoopback starts n VMs with their own trackers, which call their peers
// and the platform over HTTP, HTTP/2 between VMs. All are listed before the
// first one starts.
func startOverLoopback(t testing.TB, n int, platform *emulator.Server, bytes *traffic) *fleet {
	t.Helper()
	f := newFleet()
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		m := tracker.Member{ID: fmt.Sprint("vm", i), Address: l.Addr().String(), Region: "r", DataCentre: "dc", State: tracker.Live}
		f.list = append(f.list, m)
		platform.SetVM(client.VM{ID: m.ID, Address: m.Address, Region: m.Region, DataCentre: m.DataCentre, State: client.VMLive})
	}
	for i, l := range listeners {
		f.vms[f.list[i].Address] = startVM(t, f.list[i], l, platform, bytes)
	}
	return f
}

func startVM(t testing.TB, m tracker.Member, l net.Listener, platform *emulator.Server, n *traffic) *vm {
	t.Helper()
	v := &vm{member: m}
	sheets, store := clients(t, platform, &n.sheets)
	members, list := clients(t, platform, &n.members)
	v.tracker = tracker.New(tracker.Config{Self: v.member, List: list, Dial: func(address string) tracker.Exchanger {
		return messenger.NewPeerProtobufClient("http://"+address, members)
	}})
	v.d = New(Config{Self: v.member, Store: store, Members: v.tracker, Dial: func(address string) Watcher {
		return messenger.NewPeerProtobufClient("http://"+address, sheets)
	}})
	var h2 http.Protocols
	h2.SetUnencryptedHTTP2(true)
	v.http = &http.Server{Handler: messenger.NewPeerServer(twirpServer{v: v}), Protocols: &h2}
	go func() { _ = v.http.Serve(l) }()
	t.Cleanup(v.stop)
	return v
}

// stop ends a VM without notice.
func (v *vm) stop() {
	_ = v.http.Close()
	v.d.Close()
	v.tracker.Close()
	v.down.Store(true)
}

// clients returns a client of peers and one of the platform whose bytes are counted.
func clients(t testing.TB, platform *emulator.Server, n *atomic.Uint64) (*http.Client, *client.Client) {
	t.Helper()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{c, n}, nil
	}
	var h2 http.Protocols
	h2.SetUnencryptedHTTP2(true)
	peers := &http.Client{Transport: &http.Transport{DialContext: dial, Protocols: &h2}}
	c, err := client.New(client.Config{URL: platform.URL(), Tries: 1, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		peers.CloseIdleConnections()
		c.Close()
	})
	return peers, c
}
