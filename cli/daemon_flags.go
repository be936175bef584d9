package cli

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/daemon"
	"github.com/rattanway/rattanway/process/eventlog"
	"github.com/rattanway/rattanway/process/settings"
)

// Limits of duration settings.
const (
	// minInterval is the smallest allowed interval, and the smallest allowed
	// timeout of a call.
	minInterval = 100 * time.Millisecond
	// maxInterval is the largest allowed interval. It also limits the settings
	// --leave-notice, --balancer-lag and --lag.
	maxInterval = time.Minute
	// maxTimeout is the largest allowed timeout.
	maxTimeout = time.Hour
)

// daemonFlags holds the settings that the entry and agent commands share.
type daemonFlags struct {
	ID            string            `help:"Name of this instance; an agent has the name of its backend server." env:"RATTANWAY_ID"`
	Listen        string            `help:"Address to listen on, ip:port." env:"RATTANWAY_LISTEN"`
	Advertise     string            `help:"Address at which other instances reach this one, ip:port; default is --listen." env:"RATTANWAY_ADVERTISE"`
	DataCentre    string            `help:"Data centre of this instance." env:"RATTANWAY_DATA_CENTRE"`
	Region        string            `help:"Region of the data centre." env:"RATTANWAY_REGION"`
	PeerToken     string            `help:"Secret shared by all entry instances and agents, at least 8 characters." env:"RATTANWAY_PEER_TOKEN"`
	Platform      string            `help:"Address of the platform, ip:port." env:"RATTANWAY_PLATFORM"`
	PlatformToken string            `help:"Bearer token for the platform; empty for none." env:"RATTANWAY_PLATFORM_TOKEN"`
	Entries       []string          `help:"Entry instances known at the start, ID@IP:PORT/DATACENTRE/REGION, separated by commas." env:"RATTANWAY_ENTRIES"`
	ListInterval  settings.Duration `help:"Time between two reads of the platform's instance list." default:"2s" env:"RATTANWAY_LIST_INTERVAL"`
	Heartbeat     settings.Duration `help:"Longest interval between two reports of an agent; agents lengthen it in proportion when an entry instance receives reports from more than 60 of them." default:"5s" env:"RATTANWAY_HEARTBEAT"`
	DrainTimeout  settings.Duration `help:"Longest wait for work in flight at shutdown." default:"2m" env:"RATTANWAY_DRAIN_TIMEOUT"`
	LogLevel      string            `help:"Lowest level of events to log: debug, info, warning, error." default:"info" env:"RATTANWAY_LOG_LEVEL"`
}

// commonConfig validates the settings, adds a problem for each invalid one and
// returns the part of the configuration that both daemons have.
func (f *daemonFlags) commonConfig(role core.Role, problems *settings.Problems) daemon.CommonConfig {
	if f.Advertise == "" {
		f.Advertise = f.Listen
	}
	problems.Add(settings.CheckName("--id", f.ID))
	problems.Add(settings.CheckAddr("--listen", f.Listen))
	problems.Add(settings.CheckAddr("--advertise", f.Advertise))
	problems.Add(settings.CheckName("--data-centre", f.DataCentre))
	problems.Add(settings.CheckName("--region", f.Region))
	problems.Add(settings.CheckToken("--peer-token", f.PeerToken))
	problems.Add(settings.CheckAddr("--platform", f.Platform))
	problems.Add(f.ListInterval.Check("--list-interval", minInterval, maxInterval))
	problems.Add(f.Heartbeat.Check("--heartbeat", minInterval, maxInterval))
	problems.Add(f.DrainTimeout.Check("--drain-timeout", 0, maxTimeout))
	return daemon.CommonConfig{
		Self: core.Instance{
			ID: f.ID, Role: role, Addr: f.Advertise, DataCentre: f.DataCentre, Region: f.Region,
		},
		Listen:            f.Listen,
		PeerToken:         f.PeerToken,
		PlatformAddr:      f.Platform,
		PlatformToken:     f.PlatformToken,
		Seeds:             f.parseSeeds(problems),
		ListInterval:      f.ListInterval.Value(),
		HeartbeatInterval: f.Heartbeat.Value(),
		DrainTimeout:      f.DrainTimeout.Value(),
	}
}

// parseSeeds returns the entry instances of --entries and adds a problem for each
// invalid one.
func (f *daemonFlags) parseSeeds(problems *settings.Problems) []core.Instance {
	var seeds []core.Instance
	for _, text := range f.Entries {
		instance, err := settings.ParseSeed("--entries", text)
		problems.Add(err)
		seeds = append(seeds, instance)
	}
	return seeds
}

// newLogger returns the event log of the process, which is written to standard
// error. It adds a problem if --log-level is invalid.
func (f *daemonFlags) newLogger(problems *settings.Problems) *eventlog.Logger {
	level, err := logrus.ParseLevel(f.LogLevel)
	if err != nil {
		problems.Add(settings.Problem{Name: "--log-level", Value: f.LogLevel, Allowed: "debug, info, warning or error"})
	}
	return eventlog.New(os.Stderr, level, f.ID)
}
