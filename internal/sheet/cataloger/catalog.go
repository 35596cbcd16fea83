// Package cataloger defines the operator's configuration, which routes database names
// to groups of instances, and the registry of instances. Values of its types must not
// be modified once they are shared.
package cataloger

import (
	"cmp"
	"slices"
	"time"
)

// ReadKind is the consistency level of the reads on a route.
type ReadKind string

// Read kinds, by the commits that a read must see.
const (
	Current          ReadKind = "current" // all commits acknowledged before the read
	BoundedStaleness ReadKind = "bounded" // all commits acknowledged more than Route.MaxStaleness before the read
	Session          ReadKind = "session" // those of BoundedStaleness, and all earlier commits of the same session
)

// Route is the configuration of one database name.
type Route struct {
	Database         string
	Group            string
	ReadKind         ReadKind
	MaxStaleness     time.Duration // for ReadKind BoundedStaleness and Session
	StatementTimeout time.Duration // of one statement; 0: the default of package performer
	LatencyObjective time.Duration // 0: none
	Priority         int           // 0 is the highest
	SyncReplicas     int           // of the group: replicas that must hold a commit before it is acknowledged
	IsPublic         bool          // whether callers without a known key are served
}

// Group is a set of instances with one primary.
type Group struct {
	Name                      string
	MaxConnectionsPerInstance int // limit of connections to one instance, over all VMs
	SyncReplicas              int // replicas that must hold a commit before it is acknowledged
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version                uint64
	Routes                 map[string]Route // by database name
	Groups                 map[string]Group // by group name; includes the groups of all routes
	IdleTransactionTimeout time.Duration    // a transaction that is idle for longer may be aborted
	Teams                  map[string]Team  // by name; nil if callers need no key
	Faults                 []string         // parts that could not be read and have no effect; without secrets

	teamByKey map[string]string // team name by key
}

// Team is a set of callers that share keys and a limit of operations.
type Team struct {
	Name     string
	Keys     []string // secrets; must not be logged
	Priority int      // 0 is the highest
	Rate     float64  // limit of operations a second, over all VMs; 0: none
	Burst    float64  // operations above Rate that may come at once
}

// WithTeams returns a copy of the configuration with the given teams. A key that several teams have belongs to the first of
// them. An empty key belongs to no team: callers without a key must not be taken for one. Without any team, callers of
// routes that are not public are refused.
func (c Configuration) WithTeams(teams []Team) *Configuration {
	c.Teams, c.teamByKey = make(map[string]Team, len(teams)), map[string]string{}
	for _, t := range teams {
		c.Teams[t.Name] = t
		for _, key := range t.Keys {
			if _, ok := c.teamByKey[key]; !ok && key != "" {
				c.teamByKey[key] = t.Name
			}
		}
	}
	return &c
}

// HasTeams reports whether callers are identified by keys. The receiver may be nil.
func (c *Configuration) HasTeams() bool { return c != nil && c.Teams != nil }

// KeyCount returns the number of keys of all teams. The receiver may be nil.
func (c *Configuration) KeyCount() int {
	if c == nil {
		return 0
	}
	return len(c.teamByKey)
}

// TeamOf returns the team that holds a key and reports whether there is one. The receiver may be nil.
func (c *Configuration) TeamOf(key string) (Team, bool) {
	if c == nil {
		return Team{}, false
	}
	name, ok := c.teamByKey[key]
	return c.Teams[name], ok
}

// Route returns the route of a database and reports whether there is one. The receiver may be nil.
func (c *Configuration) Route(database string) (Route, bool) {
	if c == nil {
		return Route{}, false
	}
	r, ok := c.Routes[database]
	return r, ok
}

// Instance is an instance as its entry in the registry describes it.
type Instance struct {
	ID              string
	Group           string
	Address         string
	DataCentre      string
	Slots           int           // statements that the instance runs at once; 0: not given
	IsLeaving       bool          // whether the instance is draining before it stops
	IsPrimary       bool          // whether the instance reports itself as the primary
	WarmUpRemaining time.Duration // time left until it reaches its normal speed after the start
	StartedAtMs     int64         // start time, Unix milliseconds
}

// Registry holds the registered instances by ID.
type Registry map[string]Instance

// With returns a copy of the registry with changes by ID; a nil instance removes the entry.
func (r Registry) With(changes map[string]*Instance) Registry {
	next := make(Registry, len(r)+len(changes))
	for id, instance := range r {
		next[id] = instance
	}
	for id, instance := range changes {
		if instance == nil {
			delete(next, id)
			continue
		}
		next[id] = *instance
	}
	return next
}

// InGroup returns the instances of a group, sorted by ID.
func (r Registry) InGroup(group string) []Instance {
	var instances []Instance
	for _, instance := range r {
		if instance.Group == group {
			instances = append(instances, instance)
		}
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}
