package loader

import (
	"fmt"
	"net/netip"
	"net/url"
)

// minTokenKeyBytes is the minimum length of a token key.
const minTokenKeyBytes = 16

// fieldError describes an invalid value of the field at a JSON pointer.
type fieldError struct {
	pointer string
	problem string
}

// validate returns the first invalid field, or nil.
func (s Settings) validate() *fieldError {
	for _, f := range []*fieldError{
		checkNotEmpty("/id", s.ID),
		checkNotEmpty("/region", s.Region),
		checkNotEmpty("/dataCentre", s.DataCentre),
		s.checkVMAddress("/callerAddress", s.CallerAddress),
		s.checkVMAddress("/peerAddress", s.PeerAddress),
		s.checkVMAddress("/adminAddress", s.AdminAddress),
		checkIfSet("/advertisedAddress", s.AdvertisedAddress, s.checkVMAddress),
		checkSeeds(s.Seeds, s.checkVMAddress),
		checkURL("/platform", s.Platform),
		s.checkTLS(),
		s.checkUsers(),
		s.checkTokenKeys(),
		checkNotNegative("/memoryMB", float64(s.MemoryMB)),
		checkNotNegative("/maxDescriptors", float64(s.MaxDescriptors)),
		s.Limits.validate(),
	} {
		if f != nil {
			return f
		}
	}
	return nil
}

func checkNotEmpty(pointer, v string) *fieldError {
	if v == "" {
		return &fieldError{pointer, "is missing"}
	}
	return nil
}

func checkAddress(pointer, v string) *fieldError {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return &fieldError{pointer, fmt.Sprintf("%q is not an IP address and port", v)}
	}
	return nil
}

// checkVMAddress checks an address of this VM or of another one, which must be a loopback address if plainText is set.
func (s Settings) checkVMAddress(pointer, v string) *fieldError {
	if f := checkAddress(pointer, v); f != nil {
		return f
	}
	if addr, _ := netip.ParseAddrPort(v); s.PlainText && !addr.Addr().IsLoopback() {
		return &fieldError{pointer, fmt.Sprintf("%q: plainText allows loopback addresses only", v)}
	}
	return nil
}

// checkIfSet applies check to a field unless it is empty.
func checkIfSet(pointer, v string, check func(pointer, v string) *fieldError) *fieldError {
	if v == "" {
		return nil
	}
	return check(pointer, v)
}

// checkSeeds applies check to each peer address in /seeds.
func checkSeeds(seeds []string, check func(pointer, v string) *fieldError) *fieldError {
	for i, address := range seeds {
		if f := check(fmt.Sprintf("/seeds/%d", i), address); f != nil {
			return f
		}
	}
	return nil
}

func checkURL(pointer, v string) *fieldError {
	parsed, err := url.Parse(v)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return &fieldError{pointer, fmt.Sprintf("%q is not an http or https URL", v)}
	}
	return nil
}

func (s Settings) checkTLS() *fieldError {
	if s.PlainText {
		return nil
	}
	for _, f := range []*fieldError{
		checkNotEmpty("/tls/certificate", s.TLS.Certificate),
		checkNotEmpty("/tls/key", s.TLS.Key),
		checkNotEmpty("/tls/authority", s.TLS.Authority),
	} {
		if f != nil {
			return f
		}
	}
	return nil
}

func (s Settings) checkUsers() *fieldError {
	if s.PlainText {
		return nil
	}
	if len(s.Users) == 0 {
		return &fieldError{"/users", "needs at least one user"}
	}
	for i, u := range s.Users {
		if u.Name == "" || u.Password == "" {
			return &fieldError{fmt.Sprintf("/users/%d", i), "needs a name and a password"}
		}
	}
	return nil
}

func (s Settings) checkTokenKeys() *fieldError {
	if len(s.TokenKeys) == 0 {
		return &fieldError{"/tokenKeys", "needs at least one key"}
	}
	for i, k := range s.TokenKeys {
		if len(k) < minTokenKeyBytes {
			return &fieldError{fmt.Sprintf("/tokenKeys/%d", i), "is shorter than 16 bytes"}
		}
	}
	return nil
}

// validate returns the first invalid limit, or nil.
func (l Limits) validate() *fieldError {
	positive := []struct {
		pointer string
		value   int64
	}{
		{"/limits/callers", int64(l.Callers)},
		{"/limits/messageBytes", int64(l.MessageBytes)},
		{"/limits/requestTimeout", int64(l.RequestTimeout)},
		{"/limits/idleTransaction", int64(l.IdleTransaction)},
		{"/limits/queueLength", int64(l.QueueLength)},
		{"/limits/stopWait", int64(l.StopWait)},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return &fieldError{p.pointer, "must be greater than zero"}
		}
	}
	if l.StopNotice < 0 {
		return &fieldError{"/limits/stopNotice", "must not be negative"}
	}
	return nil
}
