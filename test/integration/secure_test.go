package integration

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"parsleyscale/internal/config/loader"
)

const (
	callerName     = "clerk"
	callerPassword = "plumas-de-palencia"
	certLife       = time.Hour
)

// authority signs the certificates of one deployment.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// authorities are the deployment's authority and one that it does not trust.
type authorities map[string]*authority

// Names of the authorities.
const (
	trusted = "authority"
	foreign = "other"
)

func (a authorities) get(name string) (*authority, error) {
	if a[name] != nil {
		return a[name], nil
	}
	if name != trusted && name != foreign {
		return nil, fmt.Errorf("unknown authority %q", name)
	}
	made, err := newAuthority(name)
	a[name] = made
	return made, err
}

func newAuthority(name string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := template(name)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &authority{cert: cert, key: key}, err
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-certLife),
		NotAfter:     time.Now().Add(certLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// pool returns the authority's certificate as a pool.
func (a *authority) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// issue returns a certificate for an IP number and its key, both in PEM.
func (a *authority) issue(name string, ip net.IP) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t := template(name)
	t.IPAddresses = []net.IP{ip}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), nil
}

// secure gives a VM its keys, and callers a password.
func (s *system) secure(name string, cfg *loader.Settings) error {
	a, err := s.keys.get(trusted)
	if err != nil {
		return err
	}
	cert, key, err := a.issue(name, s.hosts[name].AsSlice())
	if err != nil {
		return err
	}
	cfg.PlainText = false
	cfg.Users = []loader.User{{Name: callerName, Password: callerPassword}}
	cfg.TLS.Certificate, cfg.TLS.Key = filepath.Join(s.dir, name+".crt"), filepath.Join(s.dir, name+".key")
	cfg.TLS.Authority = filepath.Join(s.dir, "authority.crt")
	for file, b := range map[string][]byte{
		cfg.TLS.Certificate: cert,
		cfg.TLS.Key:         key,
		cfg.TLS.Authority:   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}),
	} {
		if err := os.WriteFile(file, b, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// callerTLS returns the TLS settings of a caller that trusts an authority.
func (s *system) callerTLS(name string) (*tls.Config, error) {
	a, err := s.keys.get(name)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: a.pool()}, nil
}

// dialPeer makes one TLS connection to a VM's peer address, with a certificate of an authority or none.
func dialPeer(s *system, _ stepOptions, args []string) (string, error) {
	cfg, err := s.callerTLS(trusted)
	if err != nil {
		return "", err
	}
	cfg.NextProtos = []string{"h2"}
	if args[1] != "none" {
		pair, err := s.clientCertificate(args[1])
		if err != nil {
			return "", err
		}
		// A client picks no certificate by itself that the server would refuse.
		cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", s.address(args[0], peerPort))
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return "", err
	}
	// The client learns of the refusal of its certificate with the first read.
	_, err = conn.Read(make([]byte, 1))
	return "", err
}

func (s *system) clientCertificate(name string) (tls.Certificate, error) {
	a, err := s.keys.get(name)
	if err != nil {
		return tls.Certificate{}, err
	}
	cert, key, err := a.issue("intruder", net.IPv4(127, 0, 0, 1))
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.X509KeyPair(cert, key)
}
