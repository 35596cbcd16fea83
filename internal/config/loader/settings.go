package loader

import (
	"time"

	"parsleyscale/internal/wire/decoder"
)

// Duration is a time.Duration written as text, such as "2s".
type Duration = decoder.Duration

// Settings are the settings of one entry VM. The doc tags make the reference page.
type Settings struct {
	ID                string   `json:"id" doc:"identity of the VM, as in the platform's list"`
	Region            string   `json:"region" doc:"region of the VM"`
	DataCentre        string   `json:"dataCentre" doc:"data centre of the VM"`
	CallerAddress     string   `json:"callerAddress" doc:"IP number and port for callers"`
	PeerAddress       string   `json:"peerAddress" doc:"IP number and port for other VMs and parsleyctl"`
	AdvertisedAddress string   `json:"advertisedAddress" doc:"address under which other VMs reach peerAddress, if it differs"`
	AdminAddress      string   `json:"adminAddress" doc:"IP number and port for /metrics, /health and /ready"`
	Seeds             []string `json:"seeds" doc:"peer addresses of some VMs, asked while the platform's list cannot be read"`
	Platform          string   `json:"platform" doc:"URL of the platform's service"`
	PlainText         bool     `json:"plainText" doc:"no TLS and no passwords; loopback addresses only"`
	TLS               TLS      `json:"tls" doc:"keys for callers and for other VMs"`
	Users             []User   `json:"users" doc:"callers' names and passwords"`
	Backend           User     `json:"backend" doc:"name and password for instances"`
	TokenKeys         []string `json:"tokenKeys" doc:"keys of session tokens, at least 16 characters; the first signs, all verify"`
	Limits            Limits   `json:"limits" doc:"limits and waits"`
}

// TLS names the files with keys.
type TLS struct {
	Certificate string `json:"certificate" doc:"file with the certificate chain in PEM"`
	Key         string `json:"key" doc:"file with the private key in PEM"`
	Authority   string `json:"authority" doc:"file with the certificates that other VMs' certificates are checked against"`
}

// User is a name and a password.
type User struct {
	Name     string `json:"name" doc:"name"`
	Password string `json:"password" doc:"password"`
}

// Limits are bounds of one process.
type Limits struct {
	Callers         int      `json:"callers" doc:"caller connections accepted at once"`
	MessageBytes    int      `json:"messageBytes" doc:"largest message accepted from a caller"`
	RequestTimeout  Duration `json:"requestTimeout" doc:"deadline of one statement"`
	IdleTransaction Duration `json:"idleTransaction" doc:"longest silence of a caller inside a transaction"`
	QueueLength     int      `json:"queueLength" doc:"units waiting for one instance"`
	StopNotice      Duration `json:"stopNotice" doc:"time between readiness off and the end of idle sessions"`
	StopWait        Duration `json:"stopWait" doc:"longest wait for running units at a planned stop"`
}

// Default returns the settings that a file overrides.
func Default() Settings {
	return Settings{
		Limits: Limits{
			Callers:         20000,
			MessageBytes:    16 << 20,
			RequestTimeout:  Duration(10 * time.Second),
			IdleTransaction: Duration(4 * time.Second), // a VM that is cut off keeps its locks for as long, which must stay under 5 s
			QueueLength:     256,
			StopNotice:      Duration(3 * time.Second),
			StopWait:        Duration(30 * time.Second),
		},
	}
}
