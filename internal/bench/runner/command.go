package runner

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"parsleyscale/internal/bench/checker"
	"parsleyscale/internal/bench/plotter"
	"parsleyscale/internal/telemetry/logger"
)

// ErrUnclean is the error of a run in which a count that must be zero is not.
var ErrUnclean = errors.New("a count that must be zero is not")

// ListCommand lists the scenarios.
type ListCommand struct {
	JSON bool `long:"json" description:"print one JSON array"`
}

// Execute implements flags.Commander.
func (c *ListCommand) Execute([]string) error {
	type row struct {
		Name  string `json:"name"`
		Title string `json:"title"`
	}
	var rows []row
	for _, s := range scenarios {
		rows = append(rows, row{s.Name, s.Title})
		if !c.JSON {
			fmt.Printf("%-20s %s\n", s.Name, s.Title)
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return nil
}

// RunCommand runs a scenario.
type RunCommand struct {
	Scenario   string  `long:"scenario" required:"true" description:"name from the list"`
	Deployment string  `long:"deployment" default:"arrieta" choice:"arrieta" choice:"kavango" description:"customer"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of the load and the faults"`
	Seconds    float64 `long:"seconds" default:"20" description:"time under load"`
	Callers    int     `long:"callers" description:"callers with mixed work (default: as the deployment has)"`
	JSON       bool    `long:"json" description:"print one JSON object"`
	Plot       string  `long:"plot" value-name:"FILE" description:"draw acknowledged writes over time (.png, .svg or .pdf)"`
	History    string  `long:"history" value-name:"FILE" description:"write all operations to a file, one JSON object a line"`
	Logs       string  `long:"logs" value-name:"FILE" description:"write the VMs' logs to a file"`
}

// Execute implements flags.Commander.
func (c *RunCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg := Config{Scenario: c.Scenario, Deployment: c.Deployment, Seed: c.Seed, Duration: time.Duration(c.Seconds * float64(time.Second)), Callers: c.Callers, Progress: progress(os.Stderr)}
	if c.Logs != "" {
		f, err := os.Create(c.Logs)
		if err != nil {
			return err
		}
		defer f.Close()
		cfg.Log = logger.New(f, "parsleybench")
	}
	res, err := Run(ctx, cfg)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := plotter.Write(c.Plot, res.plot()); err != nil {
			return err
		}
	}
	if c.History != "" {
		if err := writeHistory(c.History, res.History); err != nil {
			return err
		}
	}
	if err := c.print(os.Stdout, res); err != nil {
		return err
	}
	if !res.IsClean() {
		return ErrUnclean
	}
	return nil
}

// writeHistory writes one line for each operation.
func writeHistory(file string, h checker.History) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	e := json.NewEncoder(w)
	for n := range h {
		if err := e.Encode(&h[n]); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return errors.Join(w.Flush(), f.Close())
}

func (c *RunCommand) print(w io.Writer, res *Result) error {
	if c.JSON {
		return json.NewEncoder(w).Encode(res)
	}
	b, err := json.MarshalIndent(res, "", "  ")
	if err == nil {
		_, err = fmt.Fprintf(w, "%s\n", b)
	}
	return err
}

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

// progress returns a function that shows the progress on a terminal, or nil.
func progress(f *os.File) func(time.Duration, int64, int64) {
	if st, err := f.Stat(); err != nil || st.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	var last time.Duration
	return func(elapsed time.Duration, acknowledged, reads int64) {
		if elapsed-last < progressInterval {
			return
		}
		last = elapsed
		fmt.Fprintf(f, "\r%3.0f s  %d writes acknowledged, %d reads answered", elapsed.Seconds(), acknowledged, reads)
	}
}

// plot returns the lines and marks of the drawing.
func (r *Result) plot() plotter.Drawing {
	d := plotter.Drawing{Title: fmt.Sprintf("%s, %s, seed %d", r.Scenario, r.Deployment, r.Seed), Writes: acknowledgements(r.History)}
	for _, c := range r.Changes {
		d.Gaps = append(d.Gaps, plotter.Gap{Database: c.Database, Start: c.GapStart, End: c.GapEnd})
	}
	return d
}
