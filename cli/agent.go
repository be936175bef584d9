package cli

import (
	"github.com/rattanway/rattanway/connection/homes"
	"github.com/rattanway/rattanway/core"
	"github.com/rattanway/rattanway/daemon"
	"github.com/rattanway/rattanway/process/settings"
	"github.com/rattanway/rattanway/version/spread"
)

// Units and limits of the agent's settings.
const (
	mebibyte     = 1 << 20
	maxStoreMiB  = 4 << 20
	maxLinkKiBps = 1 << 30
)

// AgentCmd runs the agent beside a backend server.
type AgentCmd struct {
	daemonFlags
	Engine       string            `help:"Address of the engine or plain service beside the agent, ip:port." env:"RATTANWAY_ENGINE"`
	Service      string            `help:"Name of the plain service; empty for a model engine." env:"RATTANWAY_SERVICE"`
	HealthPath   string            `help:"Path of the plain service's health check." default:"/healthz" env:"RATTANWAY_HEALTH_PATH"`
	LeaveNotice  settings.Duration `help:"How long the agent waits at shutdown after announcing to the entry instances that it leaves." default:"1s" env:"RATTANWAY_LEAVE_NOTICE"`
	StoreMiB     settings.Int      `name:"store-mib" help:"Memory for weights, in MiB." default:"1024" env:"RATTANWAY_STORE_MIB"`
	OriginRegion string            `help:"Region of the weight store; empty when not known." env:"RATTANWAY_ORIGIN_REGION"`
	Upload       settings.Int      `name:"upload-kib" help:"Limit for weights sent over this machine's link, in KiB/s; 0 for no limit." default:"0" env:"RATTANWAY_UPLOAD_KIB"`
	Download     settings.Int      `name:"download-kib" help:"Limit for weights received over this machine's link, in KiB/s; 0 for no limit." default:"0" env:"RATTANWAY_DOWNLOAD_KIB"`
	RegionLink   settings.Int      `name:"region-kib" help:"Limit of the link to other regions for the weights of all agents of this region together, in KiB/s; 0 for the limit in the declarations." default:"0" env:"RATTANWAY_REGION_KIB"`
	Origin       settings.Int      `name:"origin-kib" help:"Limit of the weight store's link for all agents together, in KiB/s: no agent reads faster, and the agents spread their reads over time to stay within it; 0 for no limit and no spreading." default:"0" env:"RATTANWAY_ORIGIN_KIB"`
	MaxLocal     settings.Int      `help:"Largest number of entry instances in the agent's data centre to register with." default:"64" env:"RATTANWAY_MAX_LOCAL"`
	PerRemote    settings.Int      `help:"Number of entry instances in each other data centre to register with." default:"2" env:"RATTANWAY_PER_REMOTE"`
}

// Run implements the command.
func (c *AgentCmd) Run() error {
	var problems settings.Problems
	cfg := daemon.AgentConfig{
		CommonConfig:   c.commonConfig(core.RoleAgent, &problems),
		EngineAddr:     c.Engine,
		Service:        c.Service,
		HealthPath:     c.HealthPath,
		LeaveNotice:    c.LeaveNotice.Value(),
		MaxWeightBytes: int64(c.StoreMiB.Value()) * mebibyte,
		Spread: spread.Config{
			OriginRegion:           c.OriginRegion,
			UploadBytesPerSecond:   bytesFromKiB(c.Upload),
			DownloadBytesPerSecond: bytesFromKiB(c.Download),
			RegionBytesPerSecond:   bytesFromKiB(c.RegionLink),
			OriginBytesPerSecond:   bytesFromKiB(c.Origin),
		},
		Homes: homes.Config{MaxLocalHomes: c.MaxLocal.Value(), HomesPerRemoteDataCentre: c.PerRemote.Value()},
	}
	c.checkSettings(&problems)
	log := c.newLogger(&problems)
	if err := problems.Err(); err != nil {
		return usageError{err}
	}
	return daemon.RunAgent(cfg, log)
}

// checkSettings validates the settings that only the agent has and adds a problem
// for each invalid one.
func (c *AgentCmd) checkSettings(problems *settings.Problems) {
	problems.Add(settings.CheckAddr("--engine", c.Engine))
	if c.Service != "" {
		problems.Add(settings.CheckName("--service", c.Service))
	}
	problems.Add(c.LeaveNotice.Check("--leave-notice", 0, maxInterval))
	problems.Add(c.StoreMiB.Check("--store-mib", 1, maxStoreMiB))
	problems.Add(c.Upload.Check("--upload-kib", 0, maxLinkKiBps))
	problems.Add(c.Download.Check("--download-kib", 0, maxLinkKiBps))
	problems.Add(c.RegionLink.Check("--region-kib", 0, maxLinkKiBps))
	problems.Add(c.Origin.Check("--origin-kib", 0, maxLinkKiBps))
	problems.Add(c.MaxLocal.Check("--max-local", 1, 1000))
	problems.Add(c.PerRemote.Check("--per-remote", 1, 1000))
}

// bytesFromKiB converts a setting in KiB to bytes.
func bytesFromKiB(v settings.Int) int64 { return int64(v.Value()) << 10 }
