// Command stand plays the cases of the review: it starts the project's processes and
// the stand-ins for the platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	record := newRecorder(os.Args[2] + "/record.txt")
	stopOnSignal()
	d := newDeployment(record)
	broken, result := play(d, os.Getenv("TROUBLE") != "0")
	d.close()
	record.add("result: %s; rule broken: %v", result, broken)
	fmt.Printf("%s; rule broken: %v\n", result, broken)
	if broken {
		os.Exit(1)
	}
}

// cases maps the names of the cases to the functions that play them. They return
// whether the rule was broken, and what was seen.
var cases = map[string]func(d *deployment, trouble bool) (bool, string){
	"spoiled-manifest": spoiledManifest,
	"paused-load":      pausedLoad,
	"stale-seeds":      staleSeeds,
	"stale-weights":    staleWeights,
	"many-versions":    manyVersions,
}
