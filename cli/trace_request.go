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

	// The import registers the log events that only rattanway-node defines.
	_ "github.com/rattanway/rattanway/daemon/hosted"
	"github.com/rattanway/rattanway/process/eventlog"
)

// errRequestNotFound is returned if no line of the logs contains the request id.
var errRequestNotFound = errors.New("no line of the logs names this request")

// TraceRequestCmd shows every decision about one call.
type TraceRequestCmd struct {
	ID  string   `arg:"" help:"Request id, as in the X-Request-Id header of the response."`
	Log []string `required:"" help:"Log files of entry instances and agents; - for standard input."`
}

// logLine is one event of a log.
type logLine struct {
	at      time.Time
	process string
	// event is the number that identifies the kind of event.
	event int
	name  string
	// fields holds the other fields of the line, without the log level.
	fields map[string]any
}

// Run implements the command. If the request belongs to a once-only call with a
// key, Run also prints the lines of the other submissions of that call.
func (c *TraceRequestCmd) Run(s *streams) error {
	all, err := readLogs(c.Log)
	if err != nil {
		return err
	}
	lines := linesAbout(all, c.ID)
	if len(lines) == 0 {
		return errRequestNotFound
	}
	writeTrace(s.Out, lines)
	return nil
}

// readLogs returns the events of all logs, ordered by time.
func readLogs(paths []string) ([]logLine, error) {
	var all []logLine
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, errors.Wrapf(err, "read log %s", path)
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all, nil
}

// readLog reads the events of one log; the path "-" means standard input.
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

// parseLog reads the events of a log and skips lines that are not events, such
// as the output of a panic.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// parseLogLine parses one line and reports whether it is an event.
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
	for _, name := range []string{"event", "msg", "process", "time", "level"} {
		delete(fields, name)
	}
	return l, true
}

// rowKey returns the key of the table row of the once-only call that the line is
// about. It returns "" if the line is not about a once-only call. Entry instances
// log the row key in the field row, agents in the field key.
func (l logLine) rowKey() string {
	for _, name := range []string{"row", "key"} {
		if text, ok := l.fields[name].(string); ok {
			return text
		}
	}
	return ""
}

// linesAbout returns the lines about the request with this id and, if the request
// is a submission of a once-only call with a key, all lines about that call. It
// overwrites the elements of all.
func linesAbout(all []logLine, id string) []logLine {
	rowKeys := map[string]bool{}
	for _, l := range all {
		if l.fields["request"] == id && l.rowKey() != "" {
			rowKeys[l.rowKey()] = true
		}
	}
	return slices.DeleteFunc(all, func(l logLine) bool {
		return l.fields["request"] != id && !rowKeys[l.rowKey()]
	})
}

// writeTrace prints a table of the lines, with times relative to the first line,
// and the description of every event in the table.
func writeTrace(w io.Writer, lines []logLine) {
	descriptions := map[int]string{}
	for _, e := range eventlog.Catalogue() {
		descriptions[e.Number] = e.Description
	}
	table := tablewriter.NewWriter(w)
	table.SetAutoWrapText(false)
	table.SetAutoFormatHeaders(false)
	table.SetBorder(false)
	table.SetHeader([]string{"ms", "process", "event", "details"})
	numbers := map[int]bool{}
	for _, l := range lines {
		numbers[l.event] = true
		ms := float64(l.at.Sub(lines[0].at).Microseconds()) / 1000
		table.Append([]string{fmt.Sprintf("%.3f", ms), l.process, fmt.Sprintf("%d %s", l.event, l.name), formatFields(l.fields)})
	}
	fmt.Fprintf(w, "from %s\n", lines[0].at.Format(time.RFC3339Nano))
	table.Render()
	for _, n := range slices.Sorted(maps.Keys(numbers)) {
		fmt.Fprintf(w, "%d: %s\n", n, descriptions[n])
	}
}

// formatFields returns the fields as name=value, ordered by name.
func formatFields(fields map[string]any) string {
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value, err := json.Marshal(fields[name])
		if err != nil {
			continue
		}
		pairs = append(pairs, name+"="+strings.Trim(string(value), `"`))
	}
	return strings.Join(pairs, " ")
}
