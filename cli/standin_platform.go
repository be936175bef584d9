package cli

import (
	"math"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/process/settings"
	"github.com/rattanway/rattanway/standin/platform"
)

// minListLag is the smallest allowed value of --lag, the delay with which changes
// appear in the instance list.
const minListLag = 10 * time.Millisecond

// StandinPlatformCmd runs the platform stand-in.
type StandinPlatformCmd struct {
	Listen               string            `help:"Address to listen on, ip:port." default:"127.0.0.1:7000" env:"RATTANWAY_STANDIN_PLATFORM_LISTEN"`
	Lag                  settings.Duration `help:"Delay with which changes appear in the instance list." default:"500ms" env:"RATTANWAY_STANDIN_PLATFORM_LAG"`
	Instances            string            `help:"JSON file with an array of instances." type:"existingfile" optional:"" env:"RATTANWAY_STANDIN_PLATFORM_INSTANCES"`
	Token                string            `help:"Bearer token that callers must send; empty to admit every caller." env:"RATTANWAY_PLATFORM_TOKEN"`
	WeightBytesPerSecond settings.Int      `help:"Bandwidth of the weight store in bytes per second; 0 for no limit." default:"0" env:"RATTANWAY_STANDIN_PLATFORM_WEIGHT_BYTES_PER_SECOND"`
}

// Run implements the command.
func (c *StandinPlatformCmd) Run() error {
	var problems settings.Problems
	problems.Add(settings.CheckAddr("--listen", c.Listen))
	problems.Add(c.Lag.Check("--lag", minListLag, maxInterval))
	problems.Add(c.WeightBytesPerSecond.Check("--weight-bytes-per-second", 0, math.MaxInt))
	if err := problems.Err(); err != nil {
		return usageError{err}
	}
	instances, err := c.readInstances()
	if err != nil {
		return err
	}
	server := platform.New(platform.Config{
		Token:                c.Token,
		ProbeInterval:        c.Lag.Value(),
		Instances:            instances,
		WeightBytesPerSecond: int64(c.WeightBytesPerSecond.Value()),
	}, clockwork.NewRealClock())
	return serveStandin(c.Listen, server, server.Run)
}

// readInstances returns the instances in the file that --instances names. Without
// the flag, it returns an empty list.
func (c *StandinPlatformCmd) readInstances() ([]core.Instance, error) {
	if c.Instances == "" {
		return nil, nil
	}
	content, err := os.ReadFile(c.Instances)
	if err != nil {
		return nil, errors.Wrap(err, "instances")
	}
	instances, err := platform.ParseInstances(content)
	if err != nil {
		return nil, errors.Wrapf(err, "instances %s", c.Instances)
	}
	return instances, nil
}
