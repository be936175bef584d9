// Command rattanway-node runs the daemons on the users' platform. It is kept
// apart from command rattanway so that the agents, which run on small machines,
// carry neither the operators' commands nor the benchmarks.
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

// flags are the settings of both daemons.
type flags struct {
	Settings string       `help:"The platform's settings file." env:"${settingsVariable}" required:""`
	Token    string       `help:"Secret with which our processes authenticate to each other." env:"RATTANWAY_PEER_TOKEN" required:""`
	Metrics  settings.Int `help:"Port of the metrics; 0 for none." default:"0" env:"RATTANWAY_METRICS_PORT"`
	LogLevel string       `help:"Least level that is logged." enum:"debug,info,warning,error" default:"info" env:"RATTANWAY_LOG_LEVEL"`
}

// options checks the flags and names every wrong one at once.
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

// entryCmd runs an entry instance.
type entryCmd struct{ flags }

// Run implements the command.
func (c *entryCmd) Run() error { return start(&c.flags, hosted.RunEntry) }

// agentCmd runs the agent beside a model server.
type agentCmd struct{ flags }

// Run implements the command.
func (c *agentCmd) Run() error { return start(&c.flags, hosted.RunAgent) }

func start(f *flags, daemon func(hosted.Options) error) error {
	options, err := f.options()
	if err != nil {
		return errors.Wrap(err, "command line")
	}
	return daemon(options)
}

func main() {
	var grammar struct {
		Entry entryCmd `cmd:"" help:"Run an entry instance."`
		Agent agentCmd `cmd:"" help:"Run the agent beside a model server."`
	}
	ctx := kong.Parse(&grammar,
		kong.Name("rattanway-node"),
		kong.Description("Runs the daemons of rattanway on the users' platform."),
		kong.Vars{"settingsVariable": platform.SettingsPathVariable},
	)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "rattanway-node:", err)
		os.Exit(1)
	}
}
