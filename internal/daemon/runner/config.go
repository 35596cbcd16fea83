package runner

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"parsleyscale/internal/backend/pooler"
	"parsleyscale/internal/client/budgeter"
	"parsleyscale/internal/config/loader"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/listener"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/telemetry/logger"
)

// idleTransactionMargin is the time by which an instance's limit for idle transactions exceeds the VM's own limit. The
// VM thus ends an idle transaction before the instance does, and can tell the client the reason.
const idleTransactionMargin = 500 * time.Millisecond

// defaultBackendUser is the user name for connections to instances if the settings name none.
const defaultBackendUser = "parsleyscale"

func (d *Daemon) poolConfig() pooler.Config {
	user := d.cfg.Backend.Name
	if user == "" {
		user = defaultBackendUser
	}
	return pooler.Config{
		User:                     user,
		Password:                 d.cfg.Backend.Password,
		Dial:                     d.dial,
		IdleInTransactionTimeout: d.cfg.Limits.IdleTransaction.Std() + idleTransactionMargin,
	}
}

func (d *Daemon) listenerConfig(unitRunner exchanger.Runner, codec *tokenizer.Codec) listener.Config {
	passwords := map[string]string{}
	for _, u := range d.cfg.Users {
		passwords[u.Name] = u.Password
	}
	limits := d.cfg.Limits
	return listener.Config{
		Address:       d.cfg.CallerAddress,
		VM:            d.cfg.ID,
		TLS:           newClientTLS(d.peerTLS),
		Credentials:   passwords,
		TrustLoopback: d.cfg.PlainText,
		Runner:        unitRunner,
		Tokens:        codec,
		CheckNames:    d.checkNames,
		Ready:         d.Ready,
		ForwardCancel: d.forwardCancel,
		Limits: listener.Limits{
			Clients:           limits.Callers,
			MessageBytes:      limits.MessageBytes,
			IdleInTransaction: limits.IdleTransaction.Std(),
			Statement:         limits.RequestTimeout.Std(),
		},
		Budget:   budgeter.New(budgeter.LimitsFor(d.cfg.MemoryMB, d.cfg.MaxDescriptors), d.logBudget),
		Observer: d.observer,
	}
}

// logBudget logs that a connection was chosen to be closed, or that a connection or a request was refused, for lack of a resource.
func (d *Daemon) logBudget(e budgeter.Event) {
	event := logger.ClientClosed
	if e.IsRefusal {
		event = logger.ClientRefused
	}
	d.log.Sample(event, e.Resource.String(), logger.String("resource", e.Resource.String()), logger.Int("used", e.Used), logger.Int("limit", e.Limit),
		logger.Int("amount", e.Amount), logger.Millis("age", e.Age))
}

// checkNames returns an error unless the sheet, which is the deployment configuration, has the database and, if readKind
// is not empty, the database's service defines that kind of read.
func (d *Daemon) checkNames(database, readKind string) error {
	_, sheet, ok := d.sheets.Current()
	if !ok {
		return classifier.New(classifier.NotReady, "no sheet yet")
	}
	_, service, ok := sheet.Database(database)
	if !ok {
		return classifier.New(classifier.UnknownDatabase, "database %q is not in the sheet", database)
	}
	if readKind == "" {
		return nil
	}
	if _, ok := service.ReadKind(readKind); !ok {
		return classifier.New(classifier.UnknownReadKind, "read kind %q is not in the sheet for service %s", readKind, service.Name)
	}
	return nil
}

// newPeerTLS returns the TLS configuration for connections between VMs, in which both sides must present a certificate
// that the authority has signed. It returns nil if the settings select plain text.
func newPeerTLS(cfg loader.Settings) (*tls.Config, error) {
	if cfg.PlainText {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(cfg.TLS.Certificate, cfg.TLS.Key)
	if err != nil {
		return nil, fmt.Errorf("settings: tls: %w", err)
	}
	authorityPEM, err := os.ReadFile(cfg.TLS.Authority)
	if err != nil {
		return nil, fmt.Errorf("settings: tls: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authorityPEM) {
		return nil, errors.New("settings: tls: authority: file contains no valid PEM certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// newClientTLS returns the TLS configuration for clients, which authenticate by password instead of by certificate.
func newClientTLS(peer *tls.Config) *tls.Config {
	if peer == nil {
		return nil
	}
	c := peer.Clone()
	c.ClientAuth = tls.NoClientCert
	return c
}
