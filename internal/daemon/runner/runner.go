package runner

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/daemon/gatherer"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/supervisor"
	"parsleyscale/internal/member/tracker"
	"parsleyscale/internal/network/dialer"
	"parsleyscale/internal/peer/messenger"
	"parsleyscale/internal/peer/responder"
	"parsleyscale/internal/platform/client"
	"parsleyscale/internal/request/dispatcher"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/forwarder"
	"parsleyscale/internal/request/listener"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/distributor"
	"parsleyscale/internal/sheet/parser"
	"parsleyscale/internal/telemetry/logger"
	"parsleyscale/internal/telemetry/meter"
)

// platformIdleTimeout is the time after which an unused connection to the platform is closed.
const platformIdleTimeout = time.Minute

// Daemon is a running entry VM.
type Daemon struct {
	cfg  loader.Settings
	self tracker.Member
	log  *logger.Logger

	dial       dialer.Func // dials from the VM's own IP address
	meter      *meter.Meter
	platform   *client.Client
	peerTLS    *tls.Config
	peerHTTP   *http.Client
	peerServer *messenger.Server
	handler    atomic.Pointer[http.Handler] // of peerServer; nil until all components behind it run
	members    *tracker.Tracker
	sheets     *distributor.Distributor
	groups     *supervisor.Supervisor
	listener   *listener.Listener
	admin      *adminServer
	observer   *gatherer.Observer

	watchCtx    context.Context
	cancelWatch context.CancelFunc
	watchers    sync.WaitGroup

	isStopping atomic.Bool
	served     chan error // result of listener.Serve
}

// Start starts a VM. When Start returns, the VM listens on its addresses, but it is ready only once it has a sheet.
func Start(cfg loader.Settings, log *logger.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log, served: make(chan error, 1)}
	if err := d.start(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	log.Info(logger.VMStarted, logger.String("callerAddress", d.ClientAddress()), logger.String("peerAddress", d.PeerAddress()), logger.String("adminAddress", d.AdminAddress()))
	return d, nil
}

func (d *Daemon) start() error {
	for _, step := range []func() error{d.startTelemetry, d.startPeerServer, d.startMembers, d.startGroups, d.startListener, d.startAdmin, d.startWatchers} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) startTelemetry() error {
	var err error
	if d.meter, err = meter.New(); err != nil {
		return err
	}
	d.observer = gatherer.New(d.meter, d.log)
	return nil
}

// startPeerServer listens on the peer address. It runs before the components that need this address as part of the VM's
// identity towards its peers. Requests are refused with status 503 until the components that answer them run.
func (d *Daemon) startPeerServer() error {
	var err error
	if d.peerTLS, err = newPeerTLS(d.cfg); err != nil {
		return err
	}
	if d.dial, err = dialer.FromListenAddress(d.cfg.PeerAddress); err != nil {
		return err
	}
	d.peerHTTP = messenger.NewClientFrom(d.peerTLS, d.dial)
	d.peerServer, err = messenger.NewServer(d.cfg.PeerAddress, d.peerTLS, http.HandlerFunc(d.servePeer))
	return err
}

func (d *Daemon) servePeer(w http.ResponseWriter, r *http.Request) {
	h := d.handler.Load()
	if h == nil {
		http.Error(w, "VM is starting", http.StatusServiceUnavailable)
		return
	}
	(*h).ServeHTTP(w, r)
}

func (d *Daemon) startMembers() error {
	var err error
	if d.platform, err = client.New(client.Config{URL: d.cfg.Platform, HTTP: &http.Client{Transport: &http.Transport{DialContext: d.dial, IdleConnTimeout: platformIdleTimeout}}}); err != nil {
		return err
	}
	d.self = tracker.Member{ID: d.cfg.ID, Address: d.advertisedAddress(), Region: d.cfg.Region, DataCentre: d.cfg.DataCentre, State: tracker.Live}
	platformOnce := d.platform.WithMaxAttempts(1)
	d.members = tracker.New(tracker.Config{Self: d.self, Lister: platformOnce, Seeds: d.cfg.Seeds, Dial: func(a string) tracker.Exchanger { return d.peer(a) }})
	d.sheets = distributor.New(distributor.Config{Self: d.self, Store: platformOnce, Members: d.members, Dial: func(a string) distributor.PeerClient { return d.peer(a) }})
	return nil
}

// peer returns the Twirp client for the VM at an address.
func (d *Daemon) peer(address string) messenger.Peer {
	scheme := "http://"
	if d.peerTLS != nil {
		scheme = "https://"
	}
	return messenger.NewPeerProtobufClient(scheme+address, d.peerHTTP)
}

func (d *Daemon) startGroups() error {
	var err error
	d.groups, err = supervisor.New(supervisor.Config{
		Self:   d.self,
		Sheets: d.sheets,
		Rank:   d.members.TopRanked,
		Dial: func(i parser.Instance) connector.Instance {
			return connector.NewClient(connector.Config{Name: i.Name, Address: i.Address, Dial: d.dial})
		},
		PoolConfig:        d.poolConfig(),
		QueueLength:       d.cfg.Limits.QueueLength,
		Peer:              d.peer,
		Log:               d.log,
		OnPrimaryReplaced: d.meter.PrimaryChange,
	})
	return err
}

// startListener starts to accept clients and opens the peer server to requests.
func (d *Daemon) startListener() error {
	keys := make([][]byte, 0, len(d.cfg.TokenKeys))
	for _, k := range d.cfg.TokenKeys {
		keys = append(keys, []byte(k))
	}
	codec, err := tokenizer.NewCodec(keys...)
	if err != nil {
		return err
	}
	unitClient := forwarder.NewClient(d.peerHTTP, d.peerTLS != nil)
	unitRunner := dispatcher.New(dispatcher.Config{
		ID:            d.self.ID,
		DataCentre:    d.self.DataCentre,
		Region:        d.self.Region,
		Sheet:         d.sheets.Current,
		Rank:          d.members.TopRanked,
		LocalRunner:   d.groups.Runner,
		RemoteRunner:  unitClient.Runner,
		ReportFailure: d.members.RecordCall,
		OnFailure:     d.logForwardFailure,
	})
	d.listener, err = listener.New(d.listenerConfig(unitRunner, codec))
	if err != nil {
		return err
	}
	d.openPeerServer(unitRunner)
	go func() { d.served <- d.listener.Serve() }()
	return nil
}

// openPeerServer installs the handler of the peer server, which accepts forwarded units of work and the calls of peers.
func (d *Daemon) openPeerServer(unitRunner exchanger.Runner) {
	mux := http.NewServeMux()
	mux.Handle(forwarder.Path, forwarder.NewHandler(unitRunner, d.cfg.Limits.MessageBytes))
	mux.Handle(messenger.PeerPathPrefix, messenger.NewPeerServer(&responder.Responder{
		Members:           d.members,
		Sheets:            d.sheets,
		Groups:            d.groups,
		StatementCanceler: d.listener,
		VM:                d,
	}))
	var h http.Handler = mux
	d.handler.Store(&h)
}

func (d *Daemon) logForwardFailure(gateway string, r exchanger.Request, err error) {
	d.log.Warn(logger.ForwardFailed, logger.String("gateway", gateway), logger.String("database", r.Database), logger.Err(err))
}

// ClientAddress returns the address on which the VM accepts clients.
func (d *Daemon) ClientAddress() string { return d.listener.Addr().String() }

// PeerAddress returns the address on which the VM accepts requests of other VMs.
func (d *Daemon) PeerAddress() string { return d.peerServer.Addr().String() }

// advertisedAddress returns the address under which other VMs reach this one.
func (d *Daemon) advertisedAddress() string {
	if d.cfg.AdvertisedAddress != "" {
		return d.cfg.AdvertisedAddress
	}
	return d.PeerAddress()
}

// Members returns the VMs that this VM knows, itself included.
func (d *Daemon) Members() []tracker.Member { return d.members.Members() }

// AdminAddress returns the address for metrics, health and readiness.
func (d *Daemon) AdminAddress() string { return d.admin.addr() }

// Ready returns nil if the VM can serve clients, and otherwise the reason why it cannot.
func (d *Daemon) Ready() error {
	if d.isStopping.Load() {
		return errStopping
	}
	return d.sheets.Ready()
}

// Member returns the VM as its peers know it.
func (d *Daemon) Member() tracker.Member { return d.self }

// Describe implements responder.Describer.
func (d *Daemon) Describe() *messenger.StatusResponse {
	version, _, _ := d.sheets.Current()
	r := &messenger.StatusResponse{
		Vm:           newPeerVM(d.self, version),
		Ready:        true,
		Callers:      uint64(d.listener.Clients()),
		RunningUnits: uint64(d.observer.Running()),
		Groups:       d.groups.Describe(),
	}
	if err := d.Ready(); err != nil {
		r.Ready, r.NotReadyReason = false, err.Error()
	}
	for _, m := range d.members.Members() {
		r.Vms = append(r.Vms, newPeerVM(m, 0))
	}
	return r
}

// newPeerVM converts m to the type of the peer protocol.
func newPeerVM(m tracker.Member, version uint64) *messenger.VM {
	return &messenger.VM{Id: m.ID, Address: m.Address, Region: m.Region, DataCentre: m.DataCentre, State: string(m.State), SheetVersion: version}
}

// Run runs a VM until ctx ends, then stops it gracefully. It returns earlier if the listener for clients stops.
func Run(ctx context.Context, cfg loader.Settings, log *logger.Logger) error {
	d, err := Start(cfg, log)
	if err != nil {
		return err
	}
	select {
	case err := <-d.served:
		return errors.Join(err, d.Close())
	case <-ctx.Done():
		return d.Stop()
	}
}
