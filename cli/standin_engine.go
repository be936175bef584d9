package cli

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"github.com/rattanway/rattanway/standin/engine"
)

// StandinEngineCmd runs the engine stand-in.
type StandinEngineCmd struct {
	Listen      string        `help:"Address to listen on, ip:port." default:"127.0.0.1:7300" env:"RATTANWAY_STANDIN_ENGINE_LISTEN"`
	Slots       int           `help:"Largest number of concurrent calls; further calls wait." default:"32" env:"RATTANWAY_STANDIN_ENGINE_SLOTS"`
	WarmLimit   int           `help:"Number of concurrent calls that run at full speed when the engine is warm; 0 for the number of slots." default:"0" env:"RATTANWAY_STANDIN_ENGINE_WARM_LIMIT"`
	ColdLimit   int           `help:"Number of concurrent calls that run at full speed just after a start." default:"4" env:"RATTANWAY_STANDIN_ENGINE_COLD_LIMIT"`
	WarmPerCall float64       `help:"Number of further concurrent calls at full speed after each finished call." default:"1" env:"RATTANWAY_STANDIN_ENGINE_WARM_PER_CALL"`
	WarmAfter   time.Duration `help:"Time after which an engine without calls is warm; 0 for never." default:"0s" env:"RATTANWAY_STANDIN_ENGINE_WARM_AFTER"`
	FirstToken  time.Duration `help:"Time to the first token." default:"50ms" env:"RATTANWAY_STANDIN_ENGINE_FIRST_TOKEN"`
	PerToken    time.Duration `help:"Time between tokens." default:"5ms" env:"RATTANWAY_STANDIN_ENGINE_PER_TOKEN"`
	LoadTime    time.Duration `help:"Time that loading takes once the weights are read." default:"1s" env:"RATTANWAY_STANDIN_ENGINE_LOAD_TIME"`
	ReportLag   time.Duration `help:"Age of the status reports that the engine returns." default:"0s" env:"RATTANWAY_STANDIN_ENGINE_REPORT_LAG"`
	Fencing     bool          `help:"Refuse orders with an old fencing number." default:"true" negatable:"" env:"RATTANWAY_STANDIN_ENGINE_FENCING"`
	PeerToken   string        `help:"Token that the engine sends when it reads weights from the agent." env:"RATTANWAY_PEER_TOKEN"`
}

// Validate is called by kong after parsing. It returns an error that lists every
// wrong setting.
func (c *StandinEngineCmd) Validate() error {
	var problems []error
	if c.Slots < 1 {
		problems = append(problems, errors.Errorf("--slots=%d: want 1 or more", c.Slots))
	}
	if c.WarmLimit < 0 {
		problems = append(problems, errors.Errorf("--warm-limit=%d: want 0 or more", c.WarmLimit))
	}
	if c.ColdLimit < 1 {
		problems = append(problems, errors.Errorf("--cold-limit=%d: want 1 or more", c.ColdLimit))
	}
	if c.WarmPerCall <= 0 {
		problems = append(problems, errors.Errorf("--warm-per-call=%g: want more than 0", c.WarmPerCall))
	}
	return errors.Join(problems...)
}

// Run implements the command.
func (c *StandinEngineCmd) Run() error {
	e := engine.New(engine.Config{
		Slots:            c.Slots,
		WarmLimit:        c.WarmLimit,
		ColdLimit:        c.ColdLimit,
		WarmPerCall:      c.WarmPerCall,
		WarmAfter:        c.WarmAfter,
		TimeToFirstToken: c.FirstToken,
		TokenInterval:    c.PerToken,
		LoadTime:         c.LoadTime,
		ReportLag:        c.ReportLag,
		Fencing:          c.Fencing,
		PeerToken:        c.PeerToken,
	}, clockwork.NewRealClock())
	return serveStandin(c.Listen, e.Handler())
}
