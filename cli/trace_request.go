package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/olekukonko/tablewriter"

	// The daemons on the users' platform define events of their own.
	_ "github.com/rattanway/rattanway/daemon/hosted"
	"github.com/rattanway/rattanway/process/eventlog"
)

// errNotTraced says that no line of the logs is about the call.
var errNotTraced = errors.New("no line of the logs names this request")

// TraceRequestCmd tells every decision on one call.
type TraceRequestCmd struct {
	ID  string   `arg:"" help:"Request id, as the answer's X-Request-Id names it."`
	Log []string `required:"" help:"Log files of entry instances and agents; - reads standard input."`
}

// logLine is one line of a log.
type logLine struct {
	at      time.Time
	process string
	event   int
	name    string
	fields  map[string]any
}

// Run implements the command. Lines about the keyed call that the request
// belongs to are told as well, as they may come from other submissions.
func (c *TraceRequestCmd) Run(s *streams) error {
	all, err := readLogs(c.Log)
	if err != nil {
		return err
	}
	lines := linesOf(all, c.ID)
	if len(lines) == 0 {
		return errNotTraced
	}
	writeTrace(s.Out, lines)
	return nil
}

// readLogs reads every line that names a request or a keyed call.
func readLogs(paths []string) ([]logLine, error) {
	var all []logLine
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, errors.Wrapf(err, "log %s", path)
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all, nil
}

func readLog(path string) ([]logLine, error) {
	if path == "-" {
		return parseLog(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return parseLog(file)
}

// parseLog passes over lines that are not events, such as a panic's.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parseLogLine(raw []byte) (logLine, bool) {
	fields := map[string]any{}
	if json.Unmarshal(raw, &fields) != nil {
		return logLine{}, false
	}
	event, ok := fields["event"].(float64)
	if !ok {
		return logLine{}, false
	}
	l := logLine{event: int(event), fields: fields}
	l.name, _ = fields["msg"].(string)
	l.process, _ = fields["process"].(string)
	at, _ := fields["time"].(string)
	l.at, _ = time.Parse(time.RFC3339Nano, at)
	for _, shown := range []string{"event", "msg", "process", "time", "level"} {
		delete(fields, shown)
	}
	return l, true
}

// row names the keyed call that a line is about, or "". Entry instances call
// it row, agents key.
func (l logLine) row() string {
	for _, name := range []string{"row", "key"} {
		if text, ok := l.fields[name].(string); ok {
			return text
		}
	}
	return ""
}

// linesOf returns the lines about the request and its keyed call.
func linesOf(all []logLine, id string) []logLine {
	rows := map[string]bool{}
	for _, l := range all {
		if l.fields["request"] == id && l.row() != "" {
			rows[l.row()] = true
		}
	}
	return slices.DeleteFunc(all, func(l logLine) bool {
		return l.fields["request"] != id && !rows[l.row()]
	})
}

// writeTrace writes the lines, times counted from the first one, and what the
// events mean.
func writeTrace(w io.Writer, lines []logLine) {
	meanings := map[int]string{}
	for _, e := range eventlog.Catalogue() {
		meanings[e.Number] = e.Meaning
	}
	table := tablewriter.NewWriter(w)
	table.SetAutoWrapText(false)
	table.SetAutoFormatHeaders(false)
	table.SetBorder(false)
	table.SetHeader([]string{"ms", "process", "event", "details"})
	seen := map[int]bool{}
	for _, l := range lines {
		seen[l.event] = true
		ms := float64(l.at.Sub(lines[0].at).Microseconds()) / 1000
		table.Append([]string{fmt.Sprintf("%.3f", ms), l.process, fmt.Sprintf("%d %s", l.event, l.name), details(l.fields)})
	}
	fmt.Fprintf(w, "from %s\n", lines[0].at.Format(time.RFC3339Nano))
	table.Render()
	for _, n := range slices.Sorted(maps.Keys(seen)) {
		fmt.Fprintf(w, "%d: %s\n", n, meanings[n])
	}
}

// details writes the other fields in the order of their names.
func details(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value, err := json.Marshal(fields[name])
		if err != nil {
			continue
		}
		parts = append(parts, name+"="+strings.Trim(string(value), `"`))
	}
	return strings.Join(parts, " ")
}
