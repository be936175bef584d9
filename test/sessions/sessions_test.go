package sessions

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rattanway/rattanway/cli"
	"github.com/rattanway/rattanway/test/ports"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rattanway": func() { os.Exit(cli.Main(os.Args[1:])) },
		"call":      callMain,
	})
}

// addrNames are the names of the environment variables that hold the addresses of
// the processes of a session.
var addrNames = []string{
	"PLATFORM", "ENTRY1", "ENTRY2",
	"AGENT1", "AGENT2", "AGENT3", "AGENT4", "AGENT5",
	"ENGINE1", "ENGINE2", "ENGINE3", "ENGINE4", "ENGINE5",
}

func TestSessions(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"signal": signalCommand,
		},
		UpdateScripts: os.Getenv("UPDATE_SESSIONS") != "",
		Setup: func(env *testscript.Env) error {
			addrs, err := ports.FreeAddrs(len(addrNames))
			if err != nil {
				return err
			}
			for i, name := range addrNames {
				env.Setenv(name, addrs[i])
			}
			env.Setenv("EXAMPLES", examples)
			env.Setenv("RATTANWAY_PEER_TOKEN", "session-peer-token")
			env.Setenv("RATTANWAY_PLATFORM", env.Getenv("PLATFORM"))
			env.Setenv("RATTANWAY_ENTRY", env.Getenv("ENTRY1"))
			env.Setenv("RATTANWAY_OPERATORS", "ada=session-operator")
			env.Setenv("RATTANWAY_OPERATOR_TOKEN", "session-operator")
			env.Setenv("RATTANWAY_KEY", "oregano-key")
			env.Setenv("RATTANWAY_REGION", "sicily")
			env.Setenv("RATTANWAY_BALANCER_LAG", "100ms")
			env.Setenv("RATTANWAY_LEAVE_NOTICE", "200ms")
			return writeInstances(env)
		},
	})
}

// signals maps the names that the signal command accepts to signals.
var signals = map[string]os.Signal{
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// signalCommand sends a signal to the background process that has the given
// value of --id or --listen among its arguments, for example: signal STOP gpu-1.
func signalCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 || signals[args[0]] == nil {
		ts.Fatalf("usage: signal STOP|CONT|TERM ID")
	}
	for _, cmd := range ts.BackgroundCmds() {
		if slices.Contains(cmd.Args, args[1]) {
			ts.Check(cmd.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background process with %s", args[1])
}

// writeInstances writes the file instances.json, from which the platform stand-in
// reads its instances.
func writeInstances(env *testscript.Env) error {
	const line = `{"id":%q,"role":%q,"addr":%q,"dataCentre":%q,"region":"sicily"}`
	list := "[" +
		fmt.Sprintf(line, "entry-1", "entry", env.Getenv("ENTRY1"), "palermo") + "," +
		fmt.Sprintf(line, "entry-2", "entry", env.Getenv("ENTRY2"), "catania") + "," +
		fmt.Sprintf(line, "gpu-1", "agent", env.Getenv("AGENT1"), "palermo") + "," +
		fmt.Sprintf(line, "gpu-2", "agent", env.Getenv("AGENT2"), "palermo") + "," +
		fmt.Sprintf(line, "gpu-3", "agent", env.Getenv("AGENT3"), "catania") + "," +
		fmt.Sprintf(line, "gpu-4", "agent", env.Getenv("AGENT4"), "catania") + "," +
		fmt.Sprintf(line, "lots-1", "agent", env.Getenv("AGENT5"), "palermo") + "]"
	return os.WriteFile(filepath.Join(env.WorkDir, "instances.json"), []byte(list), 0o600)
}
