// Command rattanway-node runs the daemons on the users' platform. It is separate
// from the command rattanway because agents run on small machines: the binary of
// rattanway-node contains neither the operators' commands nor the benchmarks.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/daemon/hosted"
	"github.com/rattanway/rattanway/platform"
	"github.com/rattanway/rattanway/process/settings"
)

// flags holds the command-line flags of both daemons.
type flags struct {
	Settings string       `help:"Path of the settings file that the platform writes." env:"${settingsVariable}" required:""`
	Token    string       `help:"Shared secret that authenticates the daemons to each other." env:"RATTANWAY_PEER_TOKEN" required:""`
	Metrics  settings.Int `help:"Port that serves the metrics; 0 disables them." default:"0" env:"RATTANWAY_METRICS_PORT"`
	LogLevel string       `help:"Lowest level that is logged." enum:"debug,info,warning,error" default:"info" env:"RATTANWAY_LOG_LEVEL"`
}

// options returns the options of a daemon. If flags are invalid, it returns one
// error that lists all of them.
func (f *flags) options() (hosted.Options, error) {
	var problems settings.Problems
	problems.Add(f.Metrics.Check("--metrics", 0, 65535))
	problems.Add(settings.CheckToken("--token", f.Token))
	level, err := logrus.ParseLevel(f.LogLevel)
	problems.Add(err)
	return hosted.Options{
		SettingsPath: f.Settings, Token: f.Token, MetricsPort: f.Metrics.Value(), Level: level, Out: os.Stdout,
	}, problems.Err()
}

// entryCmd is the command that runs an entry instance.
type entryCmd struct{ flags }

// Run runs an entry instance until SIGTERM or SIGINT.
func (c *entryCmd) Run() error { return runDaemon(&c.flags, hosted.RunEntry) }

// agentCmd is the command that runs an agent beside a backend server.
type agentCmd struct{ flags }

// Run runs an agent until SIGTERM or SIGINT.
func (c *agentCmd) Run() error { return runDaemon(&c.flags, hosted.RunAgent) }

// runDaemon checks the flags and calls daemon with the options.
func runDaemon(f *flags, daemon func(hosted.Options) error) error {
	options, err := f.options()
	if err != nil {
		return errors.Wrap(err, "command line")
	}
	return daemon(options)
}

func main() {
	var commands struct {
		Entry entryCmd `cmd:"" help:"Run an entry instance."`
		Agent agentCmd `cmd:"" help:"Run the agent beside a backend server."`
	}
	ctx := kong.Parse(&commands,
		kong.Name("rattanway-node"),
		kong.Description("Runs the daemons of rattanway on the users' platform."),
		kong.Vars{"settingsVariable": platform.SettingsPathVariable},
	)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "rattanway-node:", err)
		os.Exit(1)
	}
}
