package cli

import (
	"context"
	"time"

	"github.com/rattanway/rattanway/bench/control"
)

// benchDaemons holds the settings that describe the daemons under test and the
// load on them.
type benchDaemons struct {
	EntryID       string        `help:"Name of the entry instance under test." default:"entry-1" env:"RATTANWAY_BENCH_ENTRY_ID"`
	EntryAddr     string        `help:"Address of the entry instance under test, ip:port." default:"127.0.0.1:21101" env:"RATTANWAY_BENCH_ENTRY"`
	AgentID       string        `help:"Name of the agent under test." default:"gpu-1" env:"RATTANWAY_BENCH_AGENT_ID"`
	AgentAddr     string        `help:"Address of the agent under test, ip:port." default:"127.0.0.1:21201" env:"RATTANWAY_BENCH_AGENT"`
	EntryPlatform string        `help:"Address that the entry instance uses for the platform, ip:port; the benchmark listens there." default:"127.0.0.1:21001" env:"RATTANWAY_BENCH_ENTRY_PLATFORM"`
	AgentPlatform string        `help:"Address that the agent uses for the platform, ip:port; the benchmark listens there." default:"127.0.0.1:21002" env:"RATTANWAY_BENCH_AGENT_PLATFORM"`
	PeerToken     string        `help:"Secret shared by all entry instances and agents." env:"RATTANWAY_PEER_TOKEN" required:""`
	Declared      int           `help:"Number of declared backend servers in the measurements that do not vary it." default:"600" env:"RATTANWAY_BENCH_DECLARED"`
	Streams       int           `help:"Number of concurrent calls." default:"100" env:"RATTANWAY_BENCH_STREAMS"`
	PerToken      time.Duration `help:"Time between two tokens of the engine." default:"35ms" env:"RATTANWAY_BENCH_PER_TOKEN"`
}

func (d benchDaemons) options() control.Options {
	return control.Options{
		EntryID: d.EntryID, EntryAddr: d.EntryAddr, EntryPlatform: d.EntryPlatform,
		AgentID: d.AgentID, AgentAddr: d.AgentAddr, AgentPlatform: d.AgentPlatform,
		PeerToken: d.PeerToken, DeclaredServers: d.Declared, ConcurrentCalls: d.Streams, TokenInterval: d.PerToken,
	}
}

// BenchControlCmd measures the control path of a running entry instance and
// agent.
type BenchControlCmd struct {
	benchDaemons
	Agents  []int         `help:"Numbers of agents to register with the entry instance." default:"8,16,32,64,128" env:"RATTANWAY_BENCH_AGENTS"`
	Homes   []int         `help:"Numbers of entry instances for the agent to register with." default:"4,8,16,32,64" env:"RATTANWAY_BENCH_HOMES"`
	Servers []int         `help:"Numbers of declared backend servers." default:"10,100,300,600" env:"RATTANWAY_BENCH_SERVERS"`
	Listed  []int         `help:"Numbers of instances in the platform's list." default:"100,300,930" env:"RATTANWAY_BENCH_LISTED"`
	Tokens  []int         `help:"Lengths of calls in tokens." default:"1,32,64,128" env:"RATTANWAY_BENCH_TOKENS"`
	Window  time.Duration `help:"Length of a measurement in steady state." default:"10s" env:"RATTANWAY_BENCH_WINDOW"`
	Settle  time.Duration `help:"Wait before a measurement." default:"3s" env:"RATTANWAY_BENCH_SETTLE"`
	Spacing time.Duration `help:"Time between two configuration changes." default:"2500ms" env:"RATTANWAY_BENCH_SPACING"`
	JSON    bool          `name:"json" help:"Print the report as JSON." env:"RATTANWAY_BENCH_JSON"`
}

// Run implements the command.
func (c *BenchControlCmd) Run(s *streams) error {
	opt := c.options()
	opt.AgentCounts, opt.HomeCounts, opt.ServerCounts, opt.ListedCounts, opt.CallLengths = c.Agents, c.Homes, c.Servers, c.Listed, c.Tokens
	opt.SteadyWindow, opt.SettleTime, opt.ChangeInterval, opt.JSON = c.Window, c.Settle, c.Spacing, c.JSON
	_, err := control.Run(context.Background(), s.Out, opt)
	return err
}

// BenchLatencyCmd compares the latency of direct calls with that of relayed
// calls.
type BenchLatencyCmd struct {
	benchDaemons
	EngineAddr string `help:"Address of the engine, ip:port." default:"127.0.0.1:21301" env:"RATTANWAY_BENCH_ENGINE"`
	Rounds     int    `help:"Number of measured rounds for each path." default:"5" env:"RATTANWAY_BENCH_ROUNDS"`
	Length     int    `help:"Number of tokens of a call." default:"64" env:"RATTANWAY_BENCH_LENGTH"`
	Burst      bool   `help:"Start all calls of a round at the same time." env:"RATTANWAY_BENCH_BURST"`
}

// Run implements the command.
func (c *BenchLatencyCmd) Run(s *streams) error {
	return control.RunLatency(context.Background(), s.Out, control.LatencyOptions{
		Options: c.options(), EngineAddr: c.EngineAddr, RoundCount: c.Rounds, TokensPerCall: c.Length, Burst: c.Burst,
	})
}
