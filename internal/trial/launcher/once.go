package launcher

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
)

// stepTimeout limits the time of one step.
const stepTimeout = 10 * time.Second

// RunSteps runs five steps against the trial system and writes one line for each,
// which names the instance that served it. It stops at the first step that
// fails and returns its error.
func (t *Trial) RunSteps(ctx context.Context, w io.Writer) error {
	r := &stepRun{t: t, w: w}
	for _, s := range []struct {
		name string
		run  func(ctx context.Context) (string, error)
	}{
		{"keyed write through vm-1", r.writeFirst},
		{"read of it through vm-2", r.readThroughOtherVM},
		{"bounded read on a replica through vm-3", r.readBounded},
		{"failure of the primary", r.failPrimary},
		{"keyed write after it through vm-2", r.writeAfterFailover},
	} {
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		start := time.Now()
		result, err := s.run(ctx)
		cancel()
		if err != nil {
			fmt.Fprintf(w, "%-40s failed: %v\n", s.name, err)
			return fmt.Errorf("%s: %w", s.name, err)
		}
		fmt.Fprintf(w, "%-40s %s, %d ms\n", s.name, result, time.Since(start).Milliseconds())
	}
	return nil
}

// stepRun is one run of the steps.
type stepRun struct {
	t       *Trial
	w       io.Writer
	token   string // session token after the last insert
	primary string // instance that served the first write
}

// connect opens a connection to a VM. params are pairs of the name, without the prefix parsleyscale., and the value of
// a run-time parameter.
func (r *stepRun) connect(ctx context.Context, vm int, params ...string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(r.t.VMURL(vm))
	if err != nil {
		return nil, err
	}
	for n := 0; n < len(params); n += 2 {
		cfg.RuntimeParams["parsleyscale."+params[n]] = params[n+1]
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// writeFirst creates the table and inserts a row through vm-1.
func (r *stepRun) writeFirst(ctx context.Context) (string, error) {
	c, err := r.connect(ctx, 0, "session", "trial")
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS bookings (id integer PRIMARY KEY, undertaker text NOT NULL)"); err != nil {
		return "", err
	}
	instance, err := r.insert(ctx, c, 1, "Hijos de Arrieta")
	r.primary = instance
	return "served by " + instance, err
}

// insert inserts one row with a new request key and returns the name of the instance that served it.
func (r *stepRun) insert(ctx context.Context, c *pgx.Conn, id int, undertaker string) (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	if _, err := c.Exec(ctx, "SET parsleyscale.key = '"+key.String()+"'"); err != nil {
		return "", err
	}
	if _, err := c.Exec(ctx, "INSERT INTO bookings VALUES ($1, $2)", id, undertaker); err != nil {
		return "", err
	}
	r.token = c.PgConn().ParameterStatus("parsleyscale.token")
	return servedBy(ctx, c)
}

// servedBy asks the VM for the name of the instance that served the connection's last statement or transaction.
func servedBy(ctx context.Context, c *pgx.Conn) (string, error) {
	var instance string
	err := c.QueryRow(ctx, "SHOW parsleyscale.served_by", pgx.QueryExecModeSimpleProtocol).Scan(&instance)
	return instance, err
}

// readThroughOtherVM reads the row through vm-2 with the session token of the write.
func (r *stepRun) readThroughOtherVM(ctx context.Context) (string, error) {
	c, err := r.connect(ctx, 1, "session", "trial", "token", r.token)
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	return r.read(ctx, c)
}

// read reads the first row and returns its content and the instance that served it.
func (r *stepRun) read(ctx context.Context, c *pgx.Conn) (string, error) {
	var undertaker string
	if err := c.QueryRow(ctx, "SELECT undertaker FROM bookings WHERE id = $1", 1).Scan(&undertaker); err != nil {
		return "", err
	}
	instance, err := servedBy(ctx, c)
	return fmt.Sprintf("read %q, served by %s", undertaker, instance), err
}

// readBounded reads the row through vm-3 with bounded staleness. It fails if the primary serves the read.
func (r *stepRun) readBounded(ctx context.Context) (string, error) {
	time.Sleep(4 * r.t.cfg.ApplyDelay) // until the replicas have applied the write
	c, err := r.connect(ctx, 2, "read", "catalogue")
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	result, err := r.read(ctx, c)
	if err != nil {
		return "", err
	}
	instance, err := servedBy(ctx, c)
	if err == nil && instance == r.primary {
		err = fmt.Errorf("served by the primary %s, want a replica", instance)
	}
	return result, err
}

// failPrimary stops the instance that served the first write.
func (r *stepRun) failPrimary(context.Context) (string, error) {
	for n, i := range r.t.instances {
		if instanceName(n) == r.primary {
			return "stopped " + r.primary, i.Close()
		}
	}
	return "", fmt.Errorf("trial has no instance %q to stop", r.primary)
}

// writeAfterFailover inserts a row through vm-2. It fails unless a new primary serves it.
func (r *stepRun) writeAfterFailover(ctx context.Context) (string, error) {
	c, err := r.connect(ctx, 1, "session", "trial")
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	instance, err := r.insert(ctx, c, 2, "Viuda de Salazar")
	if err == nil && instance == r.primary {
		err = fmt.Errorf("served by the failed primary %s", instance)
	}
	return "served by " + instance, err
}
