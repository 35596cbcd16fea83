package relayer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// burstBytes is the amount of data that a link with a bandwidth passes at once.
const burstBytes = 64 << 10

// Place is where a process runs.
type Place struct {
	DataCentre string
	Region     string
}

// Delays are the one-way delays of a network.
type Delays struct {
	Local   time.Duration // inside a data centre
	Region  time.Duration // between data centres of one region
	Between time.Duration // between regions
	Clients time.Duration // to and from callers, on top of the others
}

// Network holds the links between places.
type Network struct {
	delays Delays
	bits   int64 // bits per second of the link between two regions, each way; zero: unlimited

	mu     sync.Mutex
	hosts  map[netip.Addr]host
	links  map[pair]*link         // by data centre or by IP number
	pipes  map[pair]*rate.Limiter // by region
	hosted map[netip.Addr]*link   // faults of one host, in addition to those of its links

	regionBytes atomic.Int64
}

type host struct {
	place    Place
	isCaller bool
}

type pair struct{ from, to string }

// NewNetwork returns a network without faults.
func NewNetwork(d Delays, regionBitsPerSecond int64) *Network {
	return &Network{delays: d, bits: regionBitsPerSecond, hosts: map[netip.Addr]host{}, links: map[pair]*link{}, pipes: map[pair]*rate.Limiter{}, hosted: map[netip.Addr]*link{}}
}

// AddHost tells where the process with an IP number runs.
func (n *Network) AddHost(a netip.Addr, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[a] = host{place: p}
}

// AddCaller tells where a caller with an IP number is.
func (n *Network) AddCaller(a netip.Addr, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[a] = host{place: p, isCaller: true}
}

// RegionBytes returns the bytes carried between regions so far.
func (n *Network) RegionBytes() int64 { return n.regionBytes.Load() }

// Cut stops all data from one data centre to another, in that direction only, until Heal.
func (n *Network) Cut(from, to string) { n.linkOf(from, to).setCut(true) }

// Heal ends a Cut.
func (n *Network) Heal(from, to string) { n.linkOf(from, to).setCut(false) }

// CutHost stops all data to and from a host until HealHost.
func (n *Network) CutHost(a netip.Addr) { n.hostLink(a).setCut(true) }

// HealHost ends a CutHost.
func (n *Network) HealHost(a netip.Addr) { n.hostLink(a).setCut(false) }

// CutBetween stops all data between two hosts, in both directions, until HealBetween.
func (n *Network) CutBetween(a, b netip.Addr) { n.setBetween(a, b, true) }

// HealBetween ends a CutBetween.
func (n *Network) HealBetween(a, b netip.Addr) { n.setBetween(a, b, false) }

func (n *Network) setBetween(a, b netip.Addr, isCut bool) {
	n.linkOf(a.String(), b.String()).setCut(isCut)
	n.linkOf(b.String(), a.String()).setCut(isCut)
}

// SilenceHost makes the open connections to and from a host carry nothing any more; new ones work.
func (n *Network) SilenceHost(a netip.Addr) { n.hostLink(a).silence() }

// Silence makes the open connections from one data centre to another carry nothing any more; new ones work.
func (n *Network) Silence(from, to string) { n.linkOf(from, to).silence() }

// SetExtraDelay adds a one-way delay between two data centres.
func (n *Network) SetExtraDelay(from, to string, d time.Duration) {
	n.linkOf(from, to).extra.Store(int64(d))
}

func (n *Network) linkOf(from, to string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pair{from, to}
	if n.links[p] == nil {
		n.links[p] = newLink()
	}
	return n.links[p]
}

func (n *Network) hostLink(a netip.Addr) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosted[a] == nil {
		n.hosted[a] = newLink()
	}
	return n.hosted[a]
}

// path is one direction between two hosts.
type path struct {
	n        *Network
	delay    time.Duration
	links    []*link
	pipe     *rate.Limiter // nil: unlimited
	isRegion bool
}

// pathOf returns the direction from one host to another. Unknown hosts are local to the other end.
func (n *Network) pathOf(from, to netip.Addr) *path {
	n.mu.Lock()
	a, okA := n.hosts[from]
	b, okB := n.hosts[to]
	n.mu.Unlock()
	if !okA {
		a = host{place: b.place}
	}
	if !okB {
		b = host{place: a.place}
	}
	p := &path{n: n, delay: n.delayOf(a, b)}
	p.links = []*link{n.linkOf(a.place.DataCentre, b.place.DataCentre), n.hostLink(from), n.hostLink(to), n.linkOf(from.String(), to.String())}
	if a.place.Region != b.place.Region {
		p.isRegion = true
		p.pipe = n.pipeOf(a.place.Region, b.place.Region)
	}
	return p
}

func (n *Network) delayOf(a, b host) time.Duration {
	var d time.Duration
	switch {
	case a.place.DataCentre == b.place.DataCentre:
		d = n.delays.Local
	case a.place.Region == b.place.Region:
		d = n.delays.Region
	default:
		d = n.delays.Between
	}
	if a.isCaller || b.isCaller {
		d += n.delays.Clients
	}
	return d
}

// pipeOf returns the bandwidth that all connections from one region to another share.
func (n *Network) pipeOf(from, to string) *rate.Limiter {
	if n.bits == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pair{from, to}
	if n.pipes[p] == nil {
		n.pipes[p] = rate.NewLimiter(rate.Limit(n.bits/8), burstBytes)
	}
	return n.pipes[p]
}
