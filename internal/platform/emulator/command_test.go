package emulator

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"

	"parsleyscale/internal/platform/client"
)

// asCommand makes the test binary run the command, with its arguments.
const asCommand = "PARSLEYSCALE_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) == "" {
		os.Exit(m.Run())
	}
	c := &Command{}
	rest, err := flags.ParseArgs(c, os.Args[1:])
	if err == nil {
		err = c.Execute(rest)
	}
	if err != nil {
		os.Exit(1)
	}
	os.Exit(0)
}

// A script that starts the process must learn its address from the first line,
// and SIGTERM must end it with exit code 0.
func TestCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "vms.jsonc")
	vms := `[ // one VM
		{"id": "a", "address": "127.0.0.1:1", "dataCentre": "d", "state": "live"}
	]`
	if err := os.WriteFile(file, []byte(vms), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "--vms", file)
	cmd.Env = append(os.Environ(), asCommand+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(10*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	line, _ := bufio.NewReader(out).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if !ok {
		t.Errorf("first line %q", line)
	}
	c, err := client.New(client.Config{URL: "http://" + address})
	if err != nil {
		t.Fatal(err)
	}
	if list, err := c.VMs(context.Background(), 0); err != nil || len(list.VMs) != 1 || list.VMs[0].ID != "a" {
		t.Errorf("list %+v, %v", list, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("end by SIGTERM: %v", err)
	}
}

// Wrong arguments must end the process instead of starting a stand-in without VMs.
func TestCommandRefuses(t *testing.T) {
	for name, c := range map[string]*Command{
		"absent file":  {Listen: "127.0.0.1:0", VMs: "absent"},
		"not a list":   {Listen: "127.0.0.1:0", VMs: "command_test.go"},
		"bad address":  {Listen: "127.0.0.1:x"},
		"bad argument": {Listen: "127.0.0.1:0"},
	} {
		var args []string
		if name == "bad argument" {
			args = []string{"surplus"}
		}
		if err := c.Execute(args); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
