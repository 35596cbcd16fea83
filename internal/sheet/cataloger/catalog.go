// Package cataloger holds what a VM needs to know of the configuration and of
// the registered instances: routes of databases, groups and their instances.
// All values are immutable once published.
package cataloger

import (
	"cmp"
	"slices"
	"time"
)

// ReadKind is the consistency that a database's reads need.
type ReadKind string

// The read kinds.
const (
	Current ReadKind = "current" // every commit acknowledged before the read
	Bounded ReadKind = "bounded" // every commit acknowledged more than MaxStaleness before the read
	Session ReadKind = "session" // as Bounded, and every commit of the same session
)

// Route is what the configuration says of one database name.
type Route struct {
	Database     string
	Group        string
	Kind         ReadKind
	MaxStaleness time.Duration
	Timeout      time.Duration // of one statement
	Objective    time.Duration // latency that callers aim for
	Priority     int           // 0 goes first
}

// Group is a set of instances with one primary.
type Group struct {
	Name         string
	Connections  int // accepted by an instance from all VMs together
	SyncReplicas int // replicas that hold a commit before it is acknowledged
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version         uint64
	Routes          map[string]Route // by database
	Groups          map[string]Group
	IdleTransaction time.Duration // a transaction that rests longer may be ended
}

// Route returns the route of a database.
func (c *Configuration) Route(database string) (Route, bool) {
	if c == nil {
		return Route{}, false
	}
	r, ok := c.Routes[database]
	return r, ok
}

// Instance is a registered instance.
type Instance struct {
	ID         string
	Group      string
	Address    string
	DataCentre string
	Slots      int
	IsLeaving  bool
	IsPrimary  bool          // as it sees itself
	WarmUp     time.Duration // how much longer it stays slow after its start
	Born       int64         // start, Unix milliseconds
}

// Registry is the set of registered instances, by identity.
type Registry map[string]Instance

// With returns the registry with changes; a nil instance removes the entry.
func (r Registry) With(changes map[string]*Instance) Registry {
	next := make(Registry, len(r)+len(changes))
	for id, i := range r {
		next[id] = i
	}
	for id, i := range changes {
		if i == nil {
			delete(next, id)
			continue
		}
		next[id] = *i
	}
	return next
}

// Of returns the instances of a group in the order of their identities.
func (r Registry) Of(group string) []Instance {
	var list []Instance
	for _, i := range r {
		if i.Group == group {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
