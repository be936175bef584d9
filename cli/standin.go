package cli

// StandinCmd groups the stand-ins of the external systems that instances
// connect to in production.
type StandinCmd struct {
	Platform StandinPlatformCmd `cmd:"" help:"Run a stand-in of the platform: its table, object store, weight store and instance list."`
	Engine   StandinEngineCmd   `cmd:"" help:"Run a stand-in of a model engine."`
	Service  StandinServiceCmd  `cmd:"" help:"Run a stand-in of a plain service."`
}
