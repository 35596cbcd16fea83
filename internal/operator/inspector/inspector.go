// Package inspector serves and queries the status of a VM on the users' platform: its configuration, its copies of the
// store's tables, and its view of each group and of the group's primary.
package inspector

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Path is the HTTP path at which a VM serves its Status on its peer address.
const Path = "/status"

// maxStatusBytes limits the size of a status that Query reads.
const maxStatusBytes = 4 << 20

// Status is the state of a VM as it reports it.
type Status struct {
	ID            string  `json:"id"`
	DataCentre    string  `json:"dataCentre"`
	IsReady       bool    `json:"ready"`
	IsStopping    bool    `json:"stopping,omitempty"`
	Configuration uint64  `json:"configuration"` // version of the configuration; 0 if the VM has none yet
	Tables        []Table `json:"tables"`
	Sessions      int     `json:"sessions"`
	Groups        []Group `json:"groups"`
}

// Table describes a VM's copy of a store table.
type Table struct {
	Name                string `json:"name"`
	Version             uint64 `json:"version"`
	LastUpdateAgeMillis int64  `json:"heardMillis"` // time since the store, or a VM that reads it, last answered; -1 if it never did
}

// Group is a VM's view of a group of instances.
type Group struct {
	Name                      string     `json:"name"`
	Primary                   string     `json:"primary"` // empty if not known
	Term                      uint64     `json:"term"`
	PrimaryConfirmedAgeMillis int64      `json:"proofMillis"` // time since the primary last proved its role; -1 if it never did
	Instances                 []Instance `json:"instances"`
}

// Instance is a VM's view of an instance.
type Instance struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	IsLeaving  bool   `json:"leaving,omitempty"`
	Failures   int    `json:"failures,omitempty"` // consecutive failures
	LagMillis  int64  `json:"lagMillis"`
}

// Handler returns a handler that serves the status that read returns.
func Handler(read func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(read())
	})
}

// Query queries the status of the VM at a peer address.
func Query(ctx context.Context, c *http.Client, address string, timeout time.Duration) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var s Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return s, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%s answered with HTTP status %d", address, resp.StatusCode)
	}
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s)
}
