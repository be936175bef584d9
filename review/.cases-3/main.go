// Command cases3 runs one case of the review: stand-ins of the platform, of backend servers
// and of clients, and the daemons of the system as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(dir string, trouble bool) bool{
	"eventids":  eventIDs,
	"coldagain": coldAgain,
	"coldkill":  coldKill,
	"noroute":   noRoute,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	theRecord.file = file
	dir, err := os.MkdirTemp("", "cases3")
	if err != nil {
		fatal("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fatal("ended by a signal")
	}()
	broken := cases[os.Args[1]](dir, os.Getenv("TROUBLE") != "0")
	killAll()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	}
	if broken {
		note("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	note("the rule held")
	fmt.Println("the rule held")
}

// networkBase returns the first three numbers of the loopback addresses of this run.
func networkBase() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 64+pid/250%128, 1+pid%250)
}
