package assembler

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/sealer"
	"parsleyscale/internal/operator/inspector"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/platform/replicator"
	"parsleyscale/internal/team/messenger"
)

// isReader reports whether this VM is a reader: it follows the store on behalf of the other VMs. The readers are the
// VMs whose peer addresses the settings of all VMs list as seeds.
func (v *VM) isReader() bool { return slices.Contains(v.cfg.Seeds, v.cfg.PeerAddress) }

// largeDeploymentVMs is the number of VMs above which VMs ask the readers before the store. The calls of the readers have
// a short wait, so that they notice a network partition early; with more VMs than this, these calls still cost the
// store less than one call with a long wait from each VM.
const largeDeploymentVMs = 24

// isLarge reports whether the deployment has more than largeDeploymentVMs, as far as is known.
func (v *VM) isLarge() bool { return v.members.count() > largeDeploymentVMs }

// newSource returns the source from which this VM reads tables: the store, or the readers with the store as fallback.
func (v *VM) newSource() *replicator.Source {
	prefersReaders := func() bool { return v.usesReaders() && !v.isReader() && len(v.cfg.Seeds) > 0 }
	return &replicator.Source{
		Store: v.platform.Store, Readers: v.readersByDistance, Client: replicator.NewClient(),
		PreferReaders: prefersReaders, IsVMCountKnown: func() bool { return v.members.isCountKnown() }, IsLinkSlow: v.cfg.LinkMbps > 0 && v.cfg.LinkMbps < slowLinkMbps,
		Exchange: v.exchange(),
	}
}

// slowLinkMbps is the link speed in Mbit/s below which a whole table of a large configuration, about 0.4 MB from the
// store, takes 100 ms or more to arrive.
const slowLinkMbps = 32

// readersByDistance returns the addresses of the readers: those of this data centre first, then those of the same
// region, then all others. Readers at the same distance are in an order that differs from VM to VM, to spread the load.
func (v *VM) readersByDistance() []string {
	list := slices.Clone(v.cfg.Seeds)
	dataCentres := v.members.dataCentresOf(list)
	distance := func(a string) int {
		switch dc := dataCentres[a]; {
		case dc == v.cfg.DataCentre:
			return 0
		case dc != "" && v.cfg.DataCentres[dc] == v.cfg.Region:
			return 1
		}
		return 2
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(rendezvousWeight(a, v.cfg.ID), rendezvousWeight(b, v.cfg.ID)))
	})
	return list
}

// usesReaders reports whether VMs that are not readers ask the readers before the store: in a large deployment, and as
// long as the number of VMs is not known.
func (v *VM) usesReaders() bool {
	return !v.members.isCountKnown() || v.isLarge()
}

// startFollowers follows the configuration and the registry, and pulls missing changes from other VMs.
func (v *VM) startFollowers() {
	v.configurationCopy = replicator.NewTableCopy(replicator.DefaultFreshness)
	v.tableCopies = map[string]*replicator.TableCopy{
		v.platform.ConfigurationTable: v.configurationCopy, v.platform.RegistryTable: replicator.NewTableCopy(replicator.DefaultFreshness),
	}
	v.followers = []*follower.Follower{
		v.startFollower(v.platform.ConfigurationTable, v.replaceConfiguration, v.applyConfiguration),
		v.startFollower(v.platform.RegistryTable, v.replaceRegistry, v.applyRegistryChanges),
	}
	v.registryFollower.Store(v.followers[1])
	v.refresher.Store(&replicator.Refresher{
		Store: v.platform.Store, Table: v.platform.RegistryTable, Copy: v.tableCopies[v.platform.RegistryTable], Follower: v.followers[1],
		Peers: v.peersToConfirm, ArePeersKnown: v.members.areAllRead, IsComplete: v.isRegistryComplete, Client: replicator.NewClient(),
	})
	if v.isReader() {
		v.followVMs()
	}
	v.puller = replicator.StartPuller(replicator.PullerConfig{
		Followers: map[string]*follower.Follower{v.platform.ConfigurationTable: v.followers[0], v.platform.RegistryTable: v.followers[1]},
		Peers:     v.peersToPull, Client: replicator.NewClient(), OnMerge: v.logMergedChange, Exchange: v.exchange(),
		OnAnswer: v.recordSourceAnswer, OnPull: v.members.recordPull, IsUrgent: v.isConfigurationOverdue,
	})
}

// registryState returns the version of the store up to which the registry is known, and the time since the store or a
// reader last answered, or since the start if none has. An unchanged table is confirmed once in a feed call's wait.
func (v *VM) registryState() (version uint64, age time.Duration) {
	f := v.registryFollower.Load()
	if f == nil {
		return 0, 0
	}
	answeredAt := f.AnsweredAt()
	if answeredAt.IsZero() {
		answeredAt = v.startedAt
	}
	return f.Version(), time.Since(answeredAt)
}

// vmListFreshness is how long a reader serves its copy of the list of VMs after the store last answered. The list changes
// rarely, and no decision needs the latest one, so that a feed call may wait longer than for the other tables.
const vmListFreshness = follower.DefaultWait + time.Second

// followVMs follows the list of VMs, for this reader's copy and for the summaries.
func (v *VM) followVMs() {
	c := replicator.NewTableCopy(vmListFreshness)
	v.tableCopies[inspector.VMTable] = c
	v.vmFollower = follower.Start(follower.Config{
		Source: v.platform.Store, Table: inspector.VMTable, OnAnswer: c.ConfirmFresh,
		OnTable:   func(rows []follower.Row, version uint64) { c.Replace(rows, version); v.summarizer.replace(rows) },
		OnChanges: func(rows []follower.Row, version uint64) { c.Apply(rows, version); v.summarizer.apply(rows) },
		OnFault: func(err error) {
			if err != nil {
				c.MarkStale()
			}
		},
	})
	go v.summarizer.run(context.Background(), time.Duration(slices.Index(v.cfg.Seeds, v.cfg.PeerAddress))*summaryStagger)
}

// readerSilenceTimeout is how long a follower may get no answer before a VM that uses readers pulls changes from other
// VMs. It is longer than the longest wait of a request to a reader.
const readerSilenceTimeout = replicator.PeerWait + 500*time.Millisecond

// peersToPull returns the addresses of the VMs to pull changes from. A VM that uses readers pulls only while one of its
// followers gets no answer.
func (v *VM) peersToPull() []string {
	isUpToDate := !slices.ContainsFunc(v.followers, func(f *follower.Follower) bool { return time.Since(f.AnsweredAt()) > readerSilenceTimeout })
	if isUpToDate && !v.isReader() && v.usesReaders() {
		return nil
	}
	return v.members.peerAddresses()
}

// startFollower follows a table. It applies each update to the copy that this VM serves to other VMs, and then calls
// onTable for a whole table or onChanges for changed rows.
func (v *VM) startFollower(table string, onTable, onChanges func([]follower.Row, uint64)) *follower.Follower {
	c := v.tableCopies[table]
	return follower.Start(follower.Config{
		Source: v.tableSource, Table: table, Wait: func() time.Duration { return v.followWait(table) },
		OnTable: func(rows []follower.Row, version uint64) {
			c.Replace(rows, version)
			onTable(rows, version)
			if v.isReader() && v.usesReaders() {
				go v.extendHistory(table, c, version)
			}
		},
		OnChanges: func(rows []follower.Row, version uint64) { c.Apply(rows, version); onChanges(rows, version) },
		OnGap: func(version uint64) {
			c.RecordGap(version)
			if table == v.platform.RegistryTable {
				v.recordRegistryGap("")
			}
		},
		OnAnswer: func() {
			c.ConfirmFresh()
			if table == v.platform.ConfigurationTable {
				v.recordSourceAnswer()
			}
		},
		OnFault: func(err error) {
			if err != nil {
				c.MarkStale()
			}
			v.logStoreState(table, err)
		},
	})
}

// earlierVersions is how many versions of the store before its own read of a table a reader also learns. It covers the
// writes of the second in which all VMs start and read the tables in any order.
const earlierVersions = 300

// extendHistory adds the changes before a version to a reader's copy. It is not repeated if it fails: the VMs that have
// read the table before this reader then call the store once.
func (v *VM) extendHistory(table string, c *replicator.TableCopy, version uint64) {
	after := follower.Before(version, earlierVersions)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if p, err := v.platform.Store.Follow(ctx, table, after, 0); err == nil {
		c.ExtendHistory(after, p.Rows)
	}
}

// maxConfirmingVMs bounds the number of VMs that are asked to read the registry, as each of them calls the store.
const maxConfirmingVMs = 24

// peersToConfirm returns the addresses of the VMs that are asked to read the registry for this one.
func (v *VM) peersToConfirm() []string {
	list := v.members.peerAddresses()
	return list[:min(len(list), maxConfirmingVMs)]
}

// refreshRegistry brings the registry up to date before a replacement.
func (v *VM) refreshRegistry(ctx context.Context) error {
	r := v.refresher.Load()
	if r == nil {
		return classifier.New(classifier.NotReady, "the registry is not followed yet")
	}
	return r.Refresh(ctx)
}

// followWait returns the longest wait of a call for changes of a table. It is shorter for readers that other VMs use, and
// for the configuration if it has teams, or may soon have where a VM without a source refuses keys.
func (v *VM) followWait(table string) time.Duration {
	wait := follower.DefaultWait
	if v.isReader() && v.usesReaders() {
		wait = replicator.ReaderWait
	}
	if table == v.platform.ConfigurationTable && (v.cfg.FailClosed || v.configuration.Load().HasTeams()) {
		wait = min(wait, v.maxTeamWait())
	}
	return wait
}

// servePeers serves requests of other VMs on the peer address. Only readers serve whole tables: the copy of any other
// VM would not show when the store last answered.
func (v *VM) servePeers() error {
	l, err := net.Listen("tcp", v.cfg.PeerAddress)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	h := &replicator.Handler{Copies: v.tableCopies, RecentRestore: v.recentRestore}
	if v.isReader() {
		mux.Handle(replicator.CopyPath, h)
	}
	mux.HandleFunc(replicator.ChangesPath, h.ServeChanges)
	mux.Handle(sealer.Path, sealer.Handler{Group: v.configuredGroup, Groups: v.groups.Groups})
	mux.Handle(replicator.ConfirmPath, v.refresher.Load())
	mux.Handle(messenger.Path, messenger.Handler(v.limits.holder.Serve))
	mux.Handle(inspector.Path, inspector.Handler(v.status))
	mux.Handle(inspector.ExplainPath, inspector.ExplainHandler{Explain: v.explain, OnPanic: v.logExplainPanic})
	v.peerServer = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = v.peerServer.Serve(l) }()
	return nil
}
