package loader

import (
	"time"

	"parsleyscale/internal/wire/decoder"
)

// Duration is a time.Duration that is encoded as a string such as "2s".
type Duration = decoder.Duration

// Settings holds the settings of an entry VM. The reference page of the settings is generated from the doc tags.
type Settings struct {
	ID                string   `json:"id" doc:"identity of the VM on the platform's list"`
	Region            string   `json:"region" doc:"region of the VM"`
	DataCentre        string   `json:"dataCentre" doc:"data centre of the VM"`
	CallerAddress     string   `json:"callerAddress" doc:"IP address and port for client connections"`
	PeerAddress       string   `json:"peerAddress" doc:"IP address and port for other VMs and parsleyctl"`
	AdvertisedAddress string   `json:"advertisedAddress" doc:"IP address and port at which other VMs reach peerAddress, if they differ from it"`
	AdminAddress      string   `json:"adminAddress" doc:"IP address and port for /metrics, /health and /ready"`
	Seeds             []string `json:"seeds" doc:"peer addresses of some VMs, which are queried while the platform's list cannot be read"`
	Platform          string   `json:"platform" doc:"URL of the platform service"`
	PlainText         bool     `json:"plainText" doc:"disables TLS and passwords; allowed with loopback addresses only"`
	TLS               TLS      `json:"tls" doc:"TLS files for connections with clients and other VMs"`
	Users             []User   `json:"users" doc:"user names and passwords that clients may log in with"`
	Backend           User     `json:"backend" doc:"user name and password for connections to instances"`
	TokenKeys         []string `json:"tokenKeys" doc:"keys of session tokens, at least 16 bytes each; the first one signs tokens, and all of them verify tokens"`
	Limits            Limits   `json:"limits" doc:"limits and timeouts"`
	MemoryMB          int      `json:"memoryMB" doc:"memory of the VM in MB, from which the budgets for what clients occupy are derived; if 0, they are those of a large VM and the garbage collector has no limit"`
	MaxDescriptors    int      `json:"maxDescriptors" doc:"file descriptors that the process may have open, from which the limit of connections is derived; if 0, that of a large VM applies"`
}

// TLS holds the names of the TLS files.
type TLS struct {
	Certificate string `json:"certificate" doc:"PEM file with the certificate chain"`
	Key         string `json:"key" doc:"PEM file with the private key"`
	Authority   string `json:"authority" doc:"PEM file with the CA certificates that verify the certificates of other VMs"`
}

// User holds the credentials of a user.
type User struct {
	Name     string `json:"name" doc:"user name"`
	Password string `json:"password" doc:"password"`
}

// Limits holds the limits of one process.
type Limits struct {
	Callers         int      `json:"callers" doc:"limit of concurrent client connections"`
	MessageBytes    int      `json:"messageBytes" doc:"limit of the size of a message from a client, in bytes"`
	RequestTimeout  Duration `json:"requestTimeout" doc:"time limit of one statement"`
	IdleTransaction Duration `json:"idleTransaction" doc:"limit of the time that a client may be idle inside a transaction"`
	QueueLength     int      `json:"queueLength" doc:"limit of the units of work that wait for one instance"`
	StopNotice      Duration `json:"stopNotice" doc:"time from reporting not ready to closing idle sessions"`
	StopWait        Duration `json:"stopWait" doc:"limit of the wait for running units of work during a planned stop"`
}

// Default returns the default values of the settings.
func Default() Settings {
	return Settings{
		Limits: Limits{
			Callers:         20000,
			MessageBytes:    16 << 20,
			RequestTimeout:  Duration(10 * time.Second),
			IdleTransaction: Duration(4 * time.Second), // a VM that is cut off holds its locks for this time, which must stay below 5 s
			QueueLength:     256,
			StopNotice:      Duration(3 * time.Second),
			StopWait:        Duration(30 * time.Second),
		},
	}
}
