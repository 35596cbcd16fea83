package commander

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/peer/messenger"
)

const (
	vmQueryTimeout       = 2 * time.Second // limit for the answer of one VM
	maxConcurrentQueries = 64              // VMs queried concurrently
)

// statusCommand implements the command status.
type statusCommand struct {
	inv         *invocation
	VMs         []string `long:"vm" description:"peer address of a VM to query in addition to those on the platform's list; can be repeated"`
	Certificate string   `long:"tls-certificate" description:"PEM file with the client certificate to present to VMs"`
	Key         string   `long:"tls-key" description:"PEM file with the private key of the client certificate"`
	Authority   string   `long:"tls-authority" description:"PEM file with the CA certificates that verify the certificates of VMs"`
}

// vmStatus describes one VM. Version, Ready and Reason come from the VM itself and are present only if it answered.
type vmStatus struct {
	ID         string   `json:"id,omitempty"`
	Address    string   `json:"address"`
	DataCentre string   `json:"dataCentre,omitempty"`
	Listed     bool     `json:"listed"`           // it is on the platform's list
	Seen       bool     `json:"seen"`             // it answered
	Unseen     string   `json:"unseen,omitempty"` // why there is no usable answer
	Version    *uint64  `json:"version,omitempty"`
	Ready      *bool    `json:"ready,omitempty"`
	Reason     string   `json:"reason,omitempty"` // why it is not ready
	Callers    uint64   `json:"callers,omitempty"`
	Units      uint64   `json:"runningUnits,omitempty"`
	Databases  []string `json:"databases,omitempty"` // databases that it is a gateway of

	knownVMs []*messenger.VM // VMs that it reports to know
}

// overview is the output of the command.
type overview struct {
	Store   *uint64    `json:"store,omitempty"`   // sheet version in the store; absent if it could not be read
	Problem string     `json:"problem,omitempty"` // why the platform could not be read
	VMs     []vmStatus `json:"vms"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	query, err := c.newQueryFunc()
	if err != nil {
		return err
	}
	ctx, cancel := c.inv.newContext()
	defer cancel()
	o, err := c.readPlatform(ctx)
	if err != nil {
		return err
	}
	queryVMs(ctx, query, o.VMs)
	o.addKnownVMs()
	queryVMs(ctx, query, o.VMs)
	slices.SortFunc(o.VMs, func(a, b vmStatus) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address)) })
	if err := c.printOverview(o); err != nil {
		return err
	}
	if !o.isHealthy() {
		return errUnhealthy
	}
	return nil
}

// readPlatform reads the sheet version and the list of VMs from the platform. The VMs
// given by --vm are queried even if the platform's URL is not set or its list cannot be read; without such VMs, these
// are errors.
func (c *statusCommand) readPlatform(ctx context.Context) (*overview, error) {
	o := &overview{}
	for _, address := range c.VMs {
		o.VMs = append(o.VMs, vmStatus{Address: address})
	}
	if c.inv.Platform == "" && len(c.VMs) > 0 {
		o.Problem = "no URL is given"
		return o, nil
	}
	platform, err := c.inv.newClient()
	if err != nil {
		return nil, err
	}
	defer platform.Close()
	platform = platform.WithMaxAttempts(2)
	version, _, err := c.inv.currentSheet()
	if err == nil {
		o.Store = &version
	}
	list, listErr := platform.VMs(ctx, 0)
	if err = errors.Join(err, listErr); err != nil {
		o.Problem = classifier.Message(errors.Join(listErr, err))
	}
	if listErr != nil && len(c.VMs) == 0 {
		return nil, listErr
	}
	for _, v := range list.VMs {
		o.addVM(vmStatus{ID: v.ID, Address: v.Address, DataCentre: v.DataCentre, Listed: true})
	}
	return o, nil
}

// addVM adds a VM, or completes its entry if one with the same address has no identity yet. Two identities at one
// address stay two entries, because a list may be wrong.
func (o *overview) addVM(v vmStatus) {
	i := slices.IndexFunc(o.VMs, func(s vmStatus) bool { return s.Address == v.Address && (s.ID == "" || s.ID == v.ID) })
	if i < 0 {
		o.VMs = append(o.VMs, v)
		return
	}
	if v.Listed {
		o.VMs[i].ID, o.VMs[i].DataCentre, o.VMs[i].Listed = v.ID, v.DataCentre, true
	}
}

// addKnownVMs adds the VMs that are missing from the list but known to a VM that answered, unless it reports them
// dead.
func (o *overview) addKnownVMs() {
	for _, s := range slices.Clone(o.VMs) {
		for _, v := range s.knownVMs {
			if v.State != "dead" {
				o.addVM(vmStatus{ID: v.Id, Address: v.Address, DataCentre: v.DataCentre})
			}
		}
	}
}

// isHealthy reports whether the store was read and all VMs answered, are ready and have at least its sheet version.
func (o *overview) isHealthy() bool {
	for _, v := range o.VMs {
		if !v.Seen || !*v.Ready || o.Store == nil || *v.Version < *o.Store {
			return false
		}
	}
	return o.Store != nil
}

// queryFunc queries the status of the VM at an address.
type queryFunc func(ctx context.Context, address string) (*messenger.StatusResponse, error)

// newQueryFunc returns a function that uses TLS if any of the TLS options is set, and unencrypted HTTP/2 otherwise.
func (c *statusCommand) newQueryFunc() (queryFunc, error) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport, scheme := &http.Transport{Protocols: &protocols}, "http://"
	if c.Certificate != "" || c.Key != "" || c.Authority != "" {
		cfg, err := c.tlsConfig()
		if err != nil {
			return nil, usagef("%s", err)
		}
		transport, scheme = &http.Transport{TLSClientConfig: cfg, ForceAttemptHTTP2: true}, "https://"
	}
	httpClient := &http.Client{Transport: transport}
	return func(ctx context.Context, address string) (*messenger.StatusResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, vmQueryTimeout)
		defer cancel()
		return messenger.NewPeerProtobufClient(scheme+address, httpClient).Status(ctx, &messenger.StatusRequest{})
	}, nil
}

// tlsConfig reads the files named by the TLS options.
func (c *statusCommand) tlsConfig() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: file contains no PEM certificate", c.Authority)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool}, nil
}

// queryVMs queries the VMs that were not queried before.
func queryVMs(ctx context.Context, query queryFunc, vms []vmStatus) {
	forEachConcurrently(len(vms), func(i int) {
		if v := &vms[i]; !v.Seen && v.Unseen == "" {
			v.recordResponse(query(ctx, v.Address))
		}
	})
}

// forEachConcurrently calls f with each of 0 to n-1, at most maxConcurrentQueries at a time, and waits for all calls.
func forEachConcurrently(n int, f func(i int)) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for i := range n {
		g.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = g.Wait()
}

// recordResponse records the answer to a status query. If another VM answers at the address, the state of the queried
// VM stays unknown.
func (v *vmStatus) recordResponse(r *messenger.StatusResponse, err error) {
	switch {
	case err != nil:
		v.Unseen = classifier.Message(err)
		return
	case r.GetVm().GetId() == "":
		v.Unseen = "the answer names no VM"
		return
	case v.ID != "" && r.Vm.Id != v.ID:
		v.Unseen = fmt.Sprintf("the address answers as %s", r.Vm.Id)
		return
	}
	v.ID, v.DataCentre, v.Seen = r.Vm.Id, r.Vm.DataCentre, true
	v.Version, v.Ready, v.Reason = &r.Vm.SheetVersion, &r.Ready, r.NotReadyReason
	v.Callers, v.Units, v.knownVMs = r.Callers, r.RunningUnits, r.Vms
	for _, g := range r.Groups {
		v.Databases = append(v.Databases, g.Database)
	}
}

// text returns the line that the command prints for the VM.
func (v vmStatus) text() string {
	prefix := v.ID
	if prefix == "" {
		prefix = "vm"
	}
	prefix += " " + v.Address
	if v.DataCentre != "" {
		prefix += " " + v.DataCentre
	}
	if !v.Listed {
		prefix += " (not in the platform's list)"
	}
	switch {
	case !v.Seen:
		return prefix + ": cannot be seen: " + v.Unseen
	case !*v.Ready:
		return fmt.Sprintf("%s: has version %d, not ready: %s", prefix, *v.Version, v.Reason)
	}
	return fmt.Sprintf("%s: has version %d, ready, %d callers, %d running units, gateway of %d databases", prefix, *v.Version, v.Callers, v.Units, len(v.Databases))
}

// printOverview prints the overview as JSON or as text.
func (c *statusCommand) printOverview(o *overview) error {
	if c.inv.JSON {
		return c.inv.printJSON(o)
	}
	if o.Store != nil {
		fmt.Fprintf(c.inv.out, "store: has version %d\n", *o.Store)
	}
	if o.Problem != "" {
		fmt.Fprintf(c.inv.out, "platform cannot be seen: %s\n", o.Problem)
	}
	unseenCount, behindCount := 0, 0
	for _, v := range o.VMs {
		fmt.Fprintln(c.inv.out, v.text())
		if !v.Seen {
			unseenCount++
		} else if o.Store != nil && *v.Version < *o.Store {
			behindCount++
		}
	}
	_, err := fmt.Fprintf(c.inv.out, "%d VMs, %d of them cannot be seen, %d are behind the store\n", len(o.VMs), unseenCount, behindCount)
	return err
}
