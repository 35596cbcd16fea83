package assembler

import "time"

const (
	// longSilence is how long a VM must have answered no pull to be left out of the ranks. A VM that is restarted, or suspended for a moment,
	// is back before.
	longSilence = 10 * time.Second
	// silenceTTL is how long a silence counts after the latest pull that was not answered, since VMs stop to pull while their followers are up to
	// date in a large deployment.
	silenceTTL = 30 * time.Second
)

// silences holds the VMs that did not answer the latest pull from them, by peer address.
type silences map[string]silence

type silence struct {
	since  time.Time // the first pull without an answer since the latest answer
	latest time.Time // the latest one
}

// record records the result of a pull. It reports whether the VMs with a long silence may be others than before.
func (s silences) record(address string, hasAnswered bool, now time.Time) bool {
	wasLong := s.isLong(address, now)
	if hasAnswered {
		delete(s, address)
		return wasLong
	}
	next := silence{since: now, latest: now}
	if last, ok := s[address]; ok {
		next.since = last.since
	}
	s[address] = next
	return s.isLong(address, now) != wasLong
}

// isLong reports whether a VM has been silent for longSilence.
func (s silences) isLong(address string, now time.Time) bool {
	v, ok := s[address]
	return ok && v.latest.Sub(v.since) >= longSilence && now.Sub(v.latest) < silenceTTL
}

// count returns the number of VMs that have been silent for longSilence.
func (s silences) count(now time.Time) int {
	n := 0
	for address := range s {
		if s.isLong(address, now) {
			n++
		}
	}
	return n
}

// retain forgets all but listed VMs.
func (s silences) retain(vms []member) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.PeerAddress] = true
	}
	for address := range s {
		if !listed[address] {
			delete(s, address)
		}
	}
}
