package relayer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// burstBytes is the amount of data that a link of limited bandwidth passes without delay after a pause.
const burstBytes = 64 << 10

// Place is the location of a process.
type Place struct {
	DataCentre string
	Region     string
}

// Delays are the one-way delays between two hosts of a network.
type Delays struct {
	WithinDataCentre time.Duration // within a data centre
	WithinRegion     time.Duration // between data centres of one region
	BetweenRegions   time.Duration // between regions
	Clients          time.Duration // to and from clients, in addition to the above
}

// Network simulates the links between places.
type Network struct {
	delays        Delays
	bitsPerSecond int64 // bandwidth from one region to another, each way; 0: unlimited

	mu        sync.Mutex
	hosts     map[netip.Addr]host
	links     map[pair]*link         // by data centres or by IP addresses
	limiters  map[pair]*rate.Limiter // bandwidth by regions
	hostLinks map[netip.Addr]*link   // faults of all data to and from a host, in addition to those of links

	regionBytes atomic.Int64 // carried between regions
}

// host is a process with an IP address of its own.
type host struct {
	place    Place
	isClient bool
}

// pair is a direction between two data centres, regions or IP addresses.
type pair struct{ from, to string }

// NewNetwork returns a network without faults. regionBitsPerSecond is the bandwidth from one region to another;
// 0 means unlimited.
func NewNetwork(d Delays, regionBitsPerSecond int64) *Network {
	return &Network{delays: d, bitsPerSecond: regionBitsPerSecond, hosts: map[netip.Addr]host{}, links: map[pair]*link{}, limiters: map[pair]*rate.Limiter{}, hostLinks: map[netip.Addr]*link{}}
}

// AddHost sets the place of the process that uses an IP address.
func (n *Network) AddHost(a netip.Addr, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[a] = host{place: p}
}

// AddClient sets the place of the client that uses an IP address.
func (n *Network) AddClient(a netip.Addr, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[a] = host{place: p, isClient: true}
}

// RegionBytes returns the number of bytes carried between regions so far.
func (n *Network) RegionBytes() int64 { return n.regionBytes.Load() }

// Cut holds back all data from one data centre to another, in that direction only, until Heal.
func (n *Network) Cut(from, to string) { n.linkOf(from, to).setCut(true) }

// Heal ends the effect of Cut.
func (n *Network) Heal(from, to string) { n.linkOf(from, to).setCut(false) }

// CutHost holds back all data to and from a host until HealHost.
func (n *Network) CutHost(a netip.Addr) { n.hostLink(a).setCut(true) }

// HealHost ends the effect of CutHost.
func (n *Network) HealHost(a netip.Addr) { n.hostLink(a).setCut(false) }

// CutHosts holds back all data between two hosts, in both directions, until HealHosts.
func (n *Network) CutHosts(a, b netip.Addr) { n.setBetween(a, b, true) }

// HealHosts ends the effect of CutHosts.
func (n *Network) HealHosts(a, b netip.Addr) { n.setBetween(a, b, false) }

func (n *Network) setBetween(a, b netip.Addr, cut bool) {
	n.linkOf(a.String(), b.String()).setCut(cut)
	n.linkOf(b.String(), a.String()).setCut(cut)
}

// SilenceHost makes the open connections to and from a host carry no more data. New connections work.
func (n *Network) SilenceHost(a netip.Addr) { n.hostLink(a).silence() }

// Silence makes the open connections that use the link from one data centre to another carry no more data, in either
// direction. New connections work.
func (n *Network) Silence(from, to string) { n.linkOf(from, to).silence() }

// SetExtraDelay sets a one-way delay that is added to that of the link from one data centre to another.
func (n *Network) SetExtraDelay(from, to string, d time.Duration) {
	n.linkOf(from, to).extraDelayNanos.Store(int64(d))
}

// linkOf returns the link between two data centres or two IP addresses, and creates it if needed.
func (n *Network) linkOf(from, to string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pair{from, to}
	if n.links[p] == nil {
		n.links[p] = newLink()
	}
	return n.links[p]
}

// hostLink returns the link for all data to and from a host, and creates it if needed.
func (n *Network) hostLink(a netip.Addr) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hostLinks[a] == nil {
		n.hostLinks[a] = newLink()
	}
	return n.hostLinks[a]
}

// path is one direction of the traffic between two hosts.
type path struct {
	network        *Network
	delay          time.Duration // one-way, without the added delays of links
	links          []*link
	limiter        *rate.Limiter // shared bandwidth; nil: unlimited
	crossesRegions bool
}

// pathOf returns the path from one host to another. A host whose place is unknown counts as in the other's place.
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
	p := &path{network: n, delay: n.delayOf(a, b)}
	p.links = []*link{n.linkOf(a.place.DataCentre, b.place.DataCentre), n.hostLink(from), n.hostLink(to), n.linkOf(from.String(), to.String())}
	if a.place.Region != b.place.Region {
		p.crossesRegions = true
		p.limiter = n.limiterOf(a.place.Region, b.place.Region)
	}
	return p
}

// delayOf returns the one-way delay between two hosts without the added delays of links.
func (n *Network) delayOf(a, b host) time.Duration {
	var d time.Duration
	switch {
	case a.place.DataCentre == b.place.DataCentre:
		d = n.delays.WithinDataCentre
	case a.place.Region == b.place.Region:
		d = n.delays.WithinRegion
	default:
		d = n.delays.BetweenRegions
	}
	if a.isClient || b.isClient {
		d += n.delays.Clients
	}
	return d
}

// limiterOf returns the limiter of the bandwidth that all connections from one region to another share, or nil if it
// is unlimited.
func (n *Network) limiterOf(from, to string) *rate.Limiter {
	if n.bitsPerSecond == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pair{from, to}
	if n.limiters[p] == nil {
		n.limiters[p] = rate.NewLimiter(rate.Limit(n.bitsPerSecond/8), burstBytes)
	}
	return n.limiters[p]
}
