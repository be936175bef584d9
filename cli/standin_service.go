package cli

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/standin/service"
)

// StandinServiceCmd runs the stand-in of a plain service.
type StandinServiceCmd struct {
	Listen string        `help:"Address to listen on, ip:port." default:"127.0.0.1:7400" env:"RATTANWAY_STANDIN_SERVICE_LISTEN"`
	Name   string        `help:"Name of the service." default:"lots" env:"RATTANWAY_STANDIN_SERVICE_NAME"`
	Delay  time.Duration `help:"Time that each call takes." default:"5ms" env:"RATTANWAY_STANDIN_SERVICE_DELAY"`
}

// Run implements the command.
func (c *StandinServiceCmd) Run() error {
	standin := service.New(service.Config{Name: c.Name, Delay: c.Delay}, clockwork.NewRealClock())
	return serveStandin(c.Listen, standin.Handler())
}
