package cli

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanway/rattanway/bench/spread"
	"github.com/rattanway/rattanway/process/eventlog"
)

// BenchCmd groups the benchmarks.
type BenchCmd struct {
	Spread   BenchSpreadCmd   `cmd:"" help:"Measure how fast a version is distributed to many agents over loopback."`
	Requests BenchRequestsCmd `cmd:"" help:"Send the load of a scenario file to entry instances."`
	History  BenchHistoryCmd  `cmd:"" help:"Check a recorded history of once-only calls offline."`
	Control  BenchControlCmd  `cmd:"" help:"Measure the CPU time, memory and traffic of the control path in a running entry instance and agent; scripts/capacity starts them."`
	Latency  BenchLatencyCmd  `cmd:"" help:"Compare the latency of calls sent directly to an engine with calls sent through a running entry instance and agent."`
}

// BenchSpreadCmd measures the distribution of a version to agents.
type BenchSpreadCmd struct {
	Agents         []int         `help:"Numbers of agents to measure." default:"8,16,32,64,128" env:"RATTANWAY_BENCH_AGENTS"`
	CopyMiB        int64         `name:"copy-mib" help:"Size of the version in MiB." default:"8" env:"RATTANWAY_BENCH_COPY_MIB"`
	Chunks         int           `help:"Number of chunks." default:"256" env:"RATTANWAY_BENCH_CHUNKS"`
	CopyTime       time.Duration `help:"Time that one copy of the version takes over a machine's link." default:"8s" env:"RATTANWAY_BENCH_COPY_TIME"`
	OthersCopyTime time.Duration `help:"The same for the alternative ways of distribution." default:"1s" env:"RATTANWAY_BENCH_OTHERS_COPY_TIME"`
	DataCentres    int           `help:"Number of data centres in each region." default:"1" env:"RATTANWAY_BENCH_DATA_CENTRES"`
	Wait           time.Duration `help:"How long an agent holds a peer's request open; a request fails if its response takes more than twice as long, or if its transfer makes no progress for that time." default:"500ms" env:"RATTANWAY_BENCH_WAIT"`
	Parallel       int           `help:"Number of chunks that an agent requests from peers at once; 0 for the default." default:"0" env:"RATTANWAY_BENCH_PARALLEL"`
	UploadSlots    int           `help:"Number of chunks that an agent sends at once; 0 for the default." default:"0" env:"RATTANWAY_BENCH_UPLOAD_SLOTS"`
	Fanout         int           `help:"Number of peers to which the owner of a chunk sends it directly; 0 for the default." default:"0" env:"RATTANWAY_BENCH_FANOUT"`
	Others         bool          `help:"Measure the alternative ways of distribution as well." default:"true" negatable:"" env:"RATTANWAY_BENCH_OTHERS"`
	Log            string        `help:"File for the agents' events, in the format that rattanway trace version reads." type:"path" optional:"" env:"RATTANWAY_BENCH_LOG"`
	Faults         bool          `help:"Measure with faults as well." default:"true" negatable:"" env:"RATTANWAY_BENCH_FAULTS"`
}

// Run implements the command.
func (c *BenchSpreadCmd) Run(s *streams) error {
	log := eventlog.Discard()
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		log = eventlog.New(file, logrus.InfoLevel, "bench")
	}
	_, err := spread.Run(s.Out, spread.Options{
		Log:                  log,
		AgentCounts:          c.Agents,
		CopyBytes:            c.CopyMiB << 20,
		ChunkCount:           c.Chunks,
		CopyTime:             c.CopyTime,
		AlternativesCopyTime: c.OthersCopyTime,
		DataCentresPerRegion: c.DataCentres,
		LongPollTimeout:      c.Wait,
		MaxPeerFetches:       c.Parallel,
		UploadSlots:          c.UploadSlots,
		Fanout:               c.Fanout,
		Alternatives:         c.Others,
		Faults:               c.Faults,
	})
	return err
}
