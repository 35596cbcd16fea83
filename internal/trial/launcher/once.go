package launcher

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
)

// stepTimeout bounds one step of the trial run.
const stepTimeout = 10 * time.Second

// Once runs the trial's five steps and writes one line for each with what
// served it. It returns an error unless all hold.
func (t *Trial) Once(ctx context.Context, w io.Writer) error {
	o := &once{t: t, w: w}
	for _, s := range []struct {
		name string
		run  func(ctx context.Context) (string, error)
	}{
		{"keyed write through vm-1", o.write},
		{"read of it through vm-2", o.readElsewhere},
		{"bounded read on a replica through vm-3", o.readBounded},
		{"failure of the primary", o.failPrimary},
		{"keyed write after it through vm-2", o.writeAfter},
	} {
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		start := time.Now()
		served, err := s.run(ctx)
		cancel()
		if err != nil {
			fmt.Fprintf(w, "%-40s failed: %v\n", s.name, err)
			return fmt.Errorf("%s: %w", s.name, err)
		}
		fmt.Fprintf(w, "%-40s %s, %d ms\n", s.name, served, time.Since(start).Milliseconds())
	}
	return nil
}

// once is one run of the steps.
type once struct {
	t       *Trial
	w       io.Writer
	token   string
	primary string
}

// session opens a connection with run-time parameters in name, value order.
func (o *once) session(ctx context.Context, vm int, params ...string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(o.t.URL(vm))
	if err != nil {
		return nil, err
	}
	for n := 0; n < len(params); n += 2 {
		cfg.RuntimeParams["parsleyscale."+params[n]] = params[n+1]
	}
	return pgx.ConnectConfig(ctx, cfg)
}

func (o *once) write(ctx context.Context) (string, error) {
	c, err := o.session(ctx, 0, "session", "trial")
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS bookings (id integer PRIMARY KEY, undertaker text NOT NULL)"); err != nil {
		return "", err
	}
	served, err := o.insert(ctx, c, 1, "Hijos de Arrieta")
	o.primary = served
	return "served by " + served, err
}

// insert writes one row under a new request key and returns the instance that took it.
func (o *once) insert(ctx context.Context, c *pgx.Conn, id int, undertaker string) (string, error) {
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
	o.token = c.PgConn().ParameterStatus("parsleyscale.token")
	return servedBy(ctx, c)
}

// servedBy asks the VM which instance ran the connection's last unit.
func servedBy(ctx context.Context, c *pgx.Conn) (string, error) {
	var s string
	err := c.QueryRow(ctx, "SHOW parsleyscale.served_by", pgx.QueryExecModeSimpleProtocol).Scan(&s)
	return s, err
}

func (o *once) readElsewhere(ctx context.Context) (string, error) {
	c, err := o.session(ctx, 1, "session", "trial", "token", o.token)
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	return o.read(ctx, c)
}

func (o *once) read(ctx context.Context, c *pgx.Conn) (string, error) {
	var undertaker string
	if err := c.QueryRow(ctx, "SELECT undertaker FROM bookings WHERE id = $1", 1).Scan(&undertaker); err != nil {
		return "", err
	}
	served, err := servedBy(ctx, c)
	return fmt.Sprintf("read %q, served by %s", undertaker, served), err
}

func (o *once) readBounded(ctx context.Context) (string, error) {
	time.Sleep(4 * o.t.cfg.ApplyDelay) // the replicas apply the write meanwhile
	c, err := o.session(ctx, 2, "read", "catalogue")
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	text, err := o.read(ctx, c)
	if err != nil {
		return "", err
	}
	served, err := servedBy(ctx, c)
	if err == nil && served == o.primary {
		err = fmt.Errorf("served by the primary %s", served)
	}
	return text, err
}

func (o *once) failPrimary(context.Context) (string, error) {
	for n, i := range o.t.instances {
		if instanceName(n) == o.primary {
			return "stopped " + o.primary, i.Close()
		}
	}
	return "", fmt.Errorf("no instance %q", o.primary)
}

func (o *once) writeAfter(ctx context.Context) (string, error) {
	c, err := o.session(ctx, 1, "session", "trial")
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	served, err := o.insert(ctx, c, 2, "Viuda de Salazar")
	if err == nil && served == o.primary {
		err = fmt.Errorf("served by the failed primary %s", served)
	}
	return "served by " + served, err
}
