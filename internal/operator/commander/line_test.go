package commander

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/operator/inspector"
	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/sheet/cataloger"
)

// fakeLine reads a users' platform whose store is a JSON file with rows by table and key. The row of an instance is the
// string "GROUP DATACENTRE ADDRESS".
var fakeLine = UsersPlatform{
	Open:          func(file string) TableReader { return fileStore(file) },
	RegistryTable: "instances",
	ParseEntry: func(id string, b []byte) (cataloger.Instance, error) {
		f := strings.Fields(string(b))
		if len(f) != 3 {
			return cataloger.Instance{}, errors.New("registry entry is not GROUP DATACENTRE ADDRESS")
		}
		return cataloger.Instance{ID: id, Group: f[0], DataCentre: f[1], Address: f[2]}, nil
	},
}

// fileStore is the name of a file that serves as the store.
type fileStore string

func (s fileStore) Read(_ context.Context, table string) (follower.Page, error) {
	var page follower.Page
	b, err := os.ReadFile(string(s))
	if err != nil {
		return page, classifier.Wrap(classifier.PlatformUnavailable, err, "store")
	}
	var tables map[string]map[string]json.RawMessage
	if err := json.Unmarshal(b, &tables); err != nil {
		return page, err
	}
	for key, value := range tables[table] {
		var text string
		if json.Unmarshal(value, &text) == nil {
			value = []byte(text)
		}
		page.Rows = append(page.Rows, follower.Row{Key: key, Value: value})
	}
	return page, nil
}

// startLineVM implements the script command linevm NAME FILE. It starts a VM of the users' platform that serves the file
// as its status and as its explanation, and sets the environment variable NAME to its address.
func startLineVM(ts *testscript.TestScript, _ bool, args []string) {
	body := []byte(ts.ReadFile(args[1]))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	mux := http.NewServeMux()
	for _, path := range []string{inspector.Path, inspector.ExplainPath} {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	ts.Defer(func() { _ = server.Close() })
	ts.Setenv(args[0], listener.Addr().String())
}

// expandFile implements the script command fill FILE. It expands environment variables in the file.
func expandFile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(os.Expand(ts.ReadFile(args[0]), ts.Getenv)), 0o600))
}
