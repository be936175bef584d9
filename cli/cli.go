// Package cli implements the command line: it parses and validates settings,
// starts the daemons and runs the operators' commands. Most commands have a
// file of their own.
package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// Exit codes of the process.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the arguments were valid and the command failed.
	ExitFailed = 1
	// ExitUsage means that a setting or argument was wrong; nothing was done.
	ExitUsage = 2
	// ExitConflict means that another operator changed the configuration first.
	ExitConflict = 3
)

// commands declares every command for the kong parser.
type commands struct {
	Version VersionCmd `cmd:"" help:"Print the version of this build."`
	Entry   EntryCmd   `cmd:"" help:"Run an entry instance."`
	Agent   AgentCmd   `cmd:"" help:"Run the agent beside a backend server."`
	Publish PublishCmd `cmd:"" help:"Split a model into chunks, store them, and print the manifest digest."`
	Check   CheckCmd   `cmd:"" help:"Validate a folder of declarations offline."`
	Plan    PlanCmd    `cmd:"" help:"Show what a folder of declarations would change."`
	Apply   ApplyCmd   `cmd:"" help:"Put a folder of declarations in force."`
	History HistoryCmd `cmd:"" help:"Show who changed what and when."`
	Replay  ReplayCmd  `cmd:"" help:"Print the declarations of a past version."`
	Revert  RevertCmd  `cmd:"" help:"Put the content of an old version in force as a new version."`
	Drain   DrainCmd   `cmd:"" help:"Take a data centre out of service, or mark a backend server as leaving."`
	Return  ReturnCmd  `cmd:"" help:"Undo a drain."`
	Status  StatusCmd  `cmd:"" help:"Show the configuration in force and the state of the backend servers."`
	Explain ExplainCmd `cmd:"" help:"Show where a request would go now, and why, without sending it; for entry instances on the users' platform."`
	Ask     AskCmd     `cmd:"" help:"Send one chat call and print the response as it arrives."`
	Wait    WaitCmd    `cmd:"" help:"Wait until processes are ready."`
	Trace   TraceCmd   `cmd:"" help:"Show from logs what happened to a version or a call."`
	Standin StandinCmd `cmd:"" help:"Run stand-ins of external systems for tests and the quick start."`
	Bench   BenchCmd   `cmd:"" help:"Run a benchmark."`
}

// streams holds the output streams of a command.
type streams struct {
	Out io.Writer
	Err io.Writer
}

// VersionCmd prints the version of this build.
type VersionCmd struct{}

// Run implements the command.
func (VersionCmd) Run(s *streams) error {
	_, err := fmt.Fprintln(s.Out, "rattanway 0.1.0")
	return err
}

// Main parses args, runs the command and returns the exit code.
func Main(args []string) int {
	var grammar commands
	s := &streams{Out: os.Stdout, Err: os.Stderr}
	parser, err := kong.New(&grammar,
		kong.Name("rattanway"),
		kong.Description("Distributes model weights to many instances while requests are being served."),
		kong.Bind(s),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rattanway:", err)
		return ExitFailed
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rattanway:", err)
		return ExitUsage
	}
	return exitCode(ctx.Run())
}

// exitCode prints err, if any, to standard error and returns the exit code
// for it.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "rattanway:", err)
	var coder interface{ ExitCode() int }
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return ExitFailed
}
