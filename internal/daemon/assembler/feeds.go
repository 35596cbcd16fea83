package assembler

import (
	"net"
	"net/http"
	"slices"
	"time"

	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/platform/replicator"
)

// isReader reports whether this VM follows the store for others: the VMs that
// the settings of all name as seeds do.
func (v *VM) isReader() bool { return slices.Contains(v.cfg.Seeds, v.cfg.PeerAddress) }

// manyVMs is the number of VMs above which the readers' calls to the store,
// which are short to notice a cut, cost less than one long call of each VM.
const manyVMs = 24

// newSource returns where this VM reads tables: the store, or readers first.
func (v *VM) newSource() follower.Source {
	if v.isReader() || len(v.cfg.Seeds) == 0 {
		return v.platform.Store
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	return &replicator.Source{Store: v.platform.Store, Readers: v.cfg.Seeds, Client: client, PreferReaders: func() bool { return v.members.count() > manyVMs }}
}

// startFeeds follows the configuration and the registry, and serves the copies of a reader.
func (v *VM) startFeeds() {
	v.copies = map[string]*replicator.Copy{}
	v.feeds = []*follower.Follower{
		v.follow(v.platform.ConfigurationTable, v.configured, v.configured),
		v.follow(v.platform.RegistryTable, v.registered, v.entriesChanged),
	}
}

// follow takes changes over into a copy, which readers serve, and into this VM.
func (v *VM) follow(table string, whole, changed func([]follower.Row, uint64)) *follower.Follower {
	c := replicator.NewCopy()
	v.copies[table] = c
	return follower.Start(follower.Config{
		Source: v.source, Table: table, Wait: v.feedWait,
		Whole:   func(rows []follower.Row, version uint64) { c.Replace(rows, version); whole(rows, version) },
		Changed: func(rows []follower.Row, version uint64) { c.Apply(rows, version); changed(rows, version) },
		Heard:   c.Hear,
		Fault: func(err error) {
			if err != nil {
				c.Lose()
			}
			v.logStore(table, err)
		},
	})
}

// feedWait is the wait of a call for changes.
func (v *VM) feedWait() time.Duration {
	if v.isReader() && v.members.count() > manyVMs {
		return replicator.ReaderWait
	}
	return follower.DefaultWait
}

// servePeers opens the address for other VMs. Only readers serve copies: another
// VM's copy would tell nothing of when the store was last heard.
func (v *VM) servePeers() error {
	if !v.isReader() {
		return nil
	}
	l, err := net.Listen("tcp", v.cfg.PeerAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(replicator.Path, &replicator.Handler{Copies: v.copies})
	v.peers = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = v.peers.Serve(l) }()
	return nil
}
