package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of processor times in /proc; Linux reports 100 ticks a second to user space.
const tick = 10 * time.Millisecond

// usage is what a process has used so far.
type usage struct {
	at       time.Time
	cpu      time.Duration
	resident int64 // bytes
	// in and out are the bytes of all read and write calls, those on sockets
	// included, without the headers of TCP and IP. Idle VMs write no logs.
	in, out int64
	writes  int64 // calls, about as many as packets sent
}

// usageOf reads what a process has used.
func usageOf(pid int) (usage, error) {
	u := usage{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	if u.cpu, err = cpuOf(stat); err != nil {
		return u, fmt.Errorf("stat of process %d: %w", pid, err)
	}
	if u.resident, err = field(pid, "status", "VmRSS:"); err != nil {
		return u, err
	}
	u.resident *= 1024
	if u.in, err = field(pid, "io", "rchar:"); err != nil {
		return u, err
	}
	if u.out, err = field(pid, "io", "wchar:"); err != nil {
		return u, err
	}
	u.writes, err = field(pid, "io", "syscw:")
	return u, err
}

// cpuOf returns the user and system time in a line of /proc/PID/stat.
func cpuOf(stat []byte) (time.Duration, error) {
	end := bytes.LastIndexByte(stat, ')') // the name may hold spaces
	f := strings.Fields(string(stat[end+1:]))
	if end < 0 || len(f) < 13 {
		return 0, fmt.Errorf("%d fields after the name", len(f))
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * tick, err
}

// field returns a number of a file of a process.
func field(pid int, file, name string) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			return strconv.ParseInt(f[1], 10, 64)
		}
	}
	return 0, fmt.Errorf("%s of process %d: no field %q", file, pid, name)
}

// rates is the use of a process per second between two readings.
type rates struct {
	cpu      float64 // percent of a core
	resident float64 // MB, at the end
	in, out  float64 // bytes/s
	writes   float64 // calls/s
}

func ratesOf(a, b usage) rates {
	s := b.at.Sub(a.at).Seconds()
	return rates{
		cpu:      100 * (b.cpu - a.cpu).Seconds() / s,
		resident: float64(b.resident) / 1e6,
		in:       float64(b.in-a.in) / s,
		out:      float64(b.out-a.out) / s,
		writes:   float64(b.writes-a.writes) / s,
	}
}

// mean returns the mean of the rates of several processes.
func mean(list []rates) rates {
	var m rates
	n := float64(len(list))
	for _, r := range list {
		m.cpu += r.cpu / n
		m.resident += r.resident / n
		m.in += r.in / n
		m.out += r.out / n
		m.writes += r.writes / n
	}
	return m
}

func (r rates) String() string {
	return fmt.Sprintf("cpu %.2f%% of a core, resident %.1f MB, in %.0f bytes/s, out %.0f bytes/s, %.1f writes/s", r.cpu, r.resident, r.in, r.out, r.writes)
}

// fit returns the intercept and the slope of a least-squares line.
func fit(x, y []float64) (at0, slope float64) {
	var mx, my, xy, xx float64
	for i := range x {
		mx += x[i] / float64(len(x))
		my += y[i] / float64(len(y))
	}
	for i := range x {
		xy += (x[i] - mx) * (y[i] - my)
		xx += (x[i] - mx) * (x[i] - mx)
	}
	slope = xy / xx
	return my - slope*mx, slope
}

// machineLoad returns the load averages of the machine.
func machineLoad() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(b))
}
