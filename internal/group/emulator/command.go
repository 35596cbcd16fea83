package emulator

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"parsleyscale/internal/telemetry/logger"
)

// Command is the subcommand that runs an instance as a process.
type Command struct {
	Name               string        `long:"name" description:"name of the instance in its status"`
	Listen             string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on, host:port"`
	Dir                string        `long:"dir" required:"true" description:"directory of log, rows and fence term"`
	Primary            bool          `long:"primary" description:"start an empty directory as the primary"`
	Term               uint64        `long:"term" default:"1" description:"first term of the group, for an empty directory"`
	Upstream           string        `long:"upstream" description:"address of the primary to follow, for an empty directory"`
	Slots              int           `long:"slots" default:"4" description:"statements that run at once"`
	Connections        int           `long:"connections" default:"100" description:"limit of ordinary connections"`
	ControlConnections int           `long:"control-connections" default:"16" description:"limit of control connections"`
	OpenDelay          time.Duration `long:"open-delay" description:"delay of each new ordinary connection"`
	ReceiveDelay       time.Duration `long:"receive-delay" description:"time from the pull of an entry until the replica holds it"`
	ApplyDelay         time.Duration `long:"apply-delay" description:"time from holding an entry until reads see it"`
}

// Execute prints the address it listens on and runs until SIGTERM or SIGINT.
func (c *Command) Execute([]string) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	s, err := Start(c.config())
	if err != nil {
		return err
	}
	fmt.Println("listening", s.Addr())
	<-stop
	return s.Close()
}

func (c *Command) config() Config {
	return Config{
		Name: c.Name, Listen: c.Listen, Dir: c.Dir,
		Primary: c.Primary, Term: c.Term, Upstream: c.Upstream,
		Slots: c.Slots, Connections: c.Connections, ControlConnections: c.ControlConnections,
		OpenDelay: c.OpenDelay, ReceiveDelay: c.ReceiveDelay, ApplyDelay: c.ApplyDelay, Log: logger.New(os.Stderr, c.Name),
	}
}
