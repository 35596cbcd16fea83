package builder

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// TestStart guards against a deployment in which a VM cannot serve one of the databases.
func TestStart(t *testing.T) {
	for _, name := range []string{"arrieta", "kavango"} {
		t.Run(name, func(t *testing.T) {
			d, err := Named(name)
			if err != nil {
				t.Fatal(err)
			}
			s, err := Start(d, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			for _, v := range s.VMs() {
				for _, db := range d.Sheet.Services[0].Databases {
					query(ctx, t, v, db.Name)
				}
			}
		})
	}
}

func query(ctx context.Context, t *testing.T, v *VM, database string) {
	t.Helper()
	c, err := pgx.Connect(ctx, "postgres://bench@"+v.Address+"/"+database+"?sslmode=disable")
	if err != nil {
		t.Fatalf("%s %s: %v", v.ID, database, err)
	}
	defer c.Close(ctx)
	var n int
	if err := c.QueryRow(ctx, "SELECT 1").Scan(&n); err != nil || n != 1 {
		t.Errorf("%s %s: got %d, %v", v.ID, database, n, err)
	}
}
