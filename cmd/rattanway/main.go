// Command rattanway runs the daemons, the operators' commands, the benchmarks and
// the stand-ins of this system. Package cli implements its subcommands.
package main

import (
	"os"

	"github.com/rattanway/rattanway/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
