package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// lineFile is a valid file; the line numbers of the cases in TestLoadLine refer to it.
const lineFile = `// settings
{
  "id": "vm-1", "region": "r1", "dataCentre": "d1",
  "dataCentres": {"d1": "r1"},
  "callerAddress": "127.0.0.1:1",
  "readyAddress": "127.0.0.1:2",
  "peerAddress": "127.0.0.1:3",
  "store": "127.0.0.1:4",
  "orders": "127.0.0.1:5",
  "stopGrace": "6s",
  "linkAddress": "127.0.0.1:6",
  "seeds": ["127.0.0.1:3", "127.0.0.2:3"],
  "linkMbps": 10.0,
  "failClosed": true,
  "keyRevocation": "5000ms",
}`

// Guards against invalid settings that are found only when they are used, and against errors that do not name the file,
// the line and the field. Each case replaces a part of the file.
func TestLoadLine(t *testing.T) {
	for _, c := range []struct{ old, changed, want string }{
		{"", "", ""},
		{`"vm-1"`, `""`, `:3: id: is missing`},
		{`"127.0.0.1:4"`, `"store.example:80"`, `:8: store: "store.example:80" is not an IP address and port`},
		{`"6s"`, `"2s"`, `stopNotice: must be shorter than stopGrace`},
		{`"6s"`, `6`, `:10: stopGrace: duration 6 is not a JSON string such as "300ms"`},
		{`"6s"`, `"6 s"`, `:10: stopGrace: duration "6 s"`},
		{`"127.0.0.1:6"`, `"host:6"`, `:11: linkAddress: "host:6" is not an IP address and port`},
		{`"127.0.0.2:3"`, `"127.0.0.2"`, `:12: seeds.1: "127.0.0.2" is not`},
		{`10.0`, `-1`, `:13: linkMbps: must not be negative`},
		{`"5000ms"`, `"0ms"`, `:15: keyRevocation: must be at least 300ms`},
		{`"region"`, `"regoin"`, `regoin: unknown field`},
		{`"orders"`, `"orders`, `settings: `},
	} {
		file := filepath.Join(t.TempDir(), "vm.jsonc")
		if err := os.WriteFile(file, []byte(strings.Replace(lineFile, c.old, c.changed, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := LoadLine(file)
		switch {
		case c.want == "" && (err != nil || s.ID != "vm-1" || s.StopNotice == 0 || !s.FailClosed || s.KeyRevocation.Std() != 5*time.Second):
			t.Errorf("valid file: got %+v, error %v", s, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), file)):
			t.Errorf("%s for %s: got %v, want %q", c.changed, c.old, err, c.want)
		}
	}
}
