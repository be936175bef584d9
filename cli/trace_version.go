package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/rattanway/rattanway/core"
)

// TraceCmd groups the commands that reconstruct what happened from logs.
type TraceCmd struct {
	Version TraceVersionCmd `cmd:"" help:"Show the source of every chunk of a version, and every placement, order and report of the version."`
	Request TraceRequestCmd `cmd:"" help:"Show every decision about one call."`
}

// TraceVersionCmd shows the events of one version from the logs of agents.
type TraceVersionCmd struct {
	Digest string   `arg:"" help:"Manifest digest of the version, as rattanway publish printed it."`
	Log    []string `help:"Log files of agents; may be given several times." required:"" type:"existingfile"`
	Chunks bool     `help:"Print a line for each chunk at each agent, not only the sums." default:"true" negatable:""`
}

// maxLogLineBytes is the largest length of one line of a log, in bytes. A longer line
// is an error.
const maxLogLineBytes = 4 << 20

// Numbers of the log events about model weights: the first, the last, and that of a
// fetched manifest or chunk.
const (
	firstWeightEvent  = 300
	lastWeightEvent   = 399
	chunkFetchedEvent = 301
)

// weightLine is a line about model weights in an agent's log.
type weightLine struct {
	Time     time.Time   `json:"time"`
	Process  string      `json:"process"`
	Agent    string      `json:"agent"`
	Event    int         `json:"event"`
	Name     string      `json:"msg"`
	Version  core.Digest `json:"version"`
	Wanted   []string    `json:"wanted"`
	Chunk    core.Digest `json:"chunk"`
	Manifest bool        `json:"manifest"`
	From     string      `json:"from"`
	Bytes    int64       `json:"bytes"`
	Millis   int64       `json:"ms"`

	// raw holds all fields of the line, including those above.
	raw map[string]any
}

// Run implements the command.
func (c *TraceVersionCmd) Run(s *streams) error {
	digest, err := core.ParseDigest(c.Digest)
	if err != nil {
		return usageError{err}
	}
	var lines []weightLine
	for _, path := range c.Log {
		matching, err := readWeightLines(path, digest)
		if err != nil {
			return core.WrapStep("read log", path, err)
		}
		lines = append(lines, matching...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no event of version %s in %d log files", digest.Short(), len(c.Log))
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	for _, l := range lines {
		if l.Event == chunkFetchedEvent && !c.Chunks {
			continue
		}
		if _, err := fmt.Fprintln(s.Out, l.String()); err != nil {
			return err
		}
	}
	return writeTransfers(s.Out, lines)
}

// readWeightLines returns those lines of one log that are about the version with
// this manifest digest.
func readWeightLines(path string, digest core.Digest) ([]weightLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var lines []weightLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		// Lines that are not events, such as the output of a panic, are skipped.
		var l weightLine
		if json.Unmarshal(scanner.Bytes(), &l) != nil || !l.isAbout(digest) {
			continue
		}
		if err := json.Unmarshal(scanner.Bytes(), &l.raw); err != nil {
			return nil, err
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// isAbout reports whether the line is about the version with this manifest digest.
func (l weightLine) isAbout(digest core.Digest) bool {
	if l.Event < firstWeightEvent || l.Event > lastWeightEvent {
		return false
	}
	if l.Version == digest {
		return true
	}
	for _, wanted := range l.Wanted {
		if strings.Contains(wanted, string(digest)) {
			return true
		}
	}
	return false
}

// agentName returns the name of the agent that wrote the line.
func (l weightLine) agentName() string {
	if l.Agent != "" {
		return l.Agent
	}
	return l.Process
}

// String formats the line for printing.
func (l weightLine) String() string {
	prefix := fmt.Sprintf("%s %-12s %d %s", l.Time.Format("15:04:05.000"), l.agentName(), l.Event, l.Name)
	if l.Event == chunkFetchedEvent {
		object := "chunk"
		if l.Manifest {
			object = "manifest"
		}
		return fmt.Sprintf("%s %s %s from %s, %d bytes in %d ms", prefix, object, l.Chunk.Short(), l.From, l.Bytes, l.Millis)
	}
	var fields []string
	for name, value := range l.raw {
		switch name {
		case "time", "level", "process", "agent", "event", "msg", "version":
			continue
		}
		fields = append(fields, fmt.Sprintf("%s=%v", name, value))
	}
	sort.Strings(fields)
	return prefix + " " + strings.Join(fields, " ")
}

// writeTransfers prints how many objects (manifests and chunks) and bytes each agent
// got from each source, and how many bytes the origin sent to all agents together.
func writeTransfers(out io.Writer, lines []weightLine) error {
	type transfer struct{ agent, from string }
	byteCounts, objectCounts := map[transfer]int64{}, map[transfer]int{}
	var transfers []transfer
	var originBytes int64
	for _, l := range lines {
		if l.Event != chunkFetchedEvent {
			continue
		}
		t := transfer{l.agentName(), l.From}
		if objectCounts[t] == 0 {
			transfers = append(transfers, t)
		}
		objectCounts[t]++
		byteCounts[t] += l.Bytes
		if l.From == "origin" {
			originBytes += l.Bytes
		}
	}
	sort.Slice(transfers, func(i, j int) bool {
		if transfers[i].agent != transfers[j].agent {
			return transfers[i].agent < transfers[j].agent
		}
		return transfers[i].from < transfers[j].from
	})
	for _, t := range transfers {
		if _, err := fmt.Fprintf(out, "%s got %d objects, %d bytes from %s\n", t.agent, objectCounts[t], byteCounts[t], t.from); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "the origin sent %d verified bytes of this version\n", originBytes)
	return err
}
