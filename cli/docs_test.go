package cli

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/sebdah/goldie/v2"

	"github.com/rattanway/rattanway/process/eventlog"
)

// assertPage compares a page in docs with the body generated from the code. The
// flag -update writes the page instead.
func assertPage(t *testing.T, name, body string) {
	t.Helper()
	g := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, name, []byte(body))
}

func TestEventsPage(t *testing.T) {
	var page bytes.Buffer
	page.WriteString("# Events\n\n" +
		"Every process writes its log as JSON lines: `rattanway-node` to standard output,\n" +
		"the daemons of `rattanway` to standard error. Each line has the event's number\n" +
		"(`event`), its name (`msg`), the process and the time. Numbers:\n" +
		"1xx connections, 2xx configuration, 3xx weights, 4xx agent, 5xx entry instance,\n" +
		"6xx process. This page is made from the code: `go test ./cli -update`.\n\n" +
		"| number | name | level | meaning |\n|---|---|---|---|\n")
	for _, e := range eventlog.Catalogue() {
		meaning := strings.TrimSuffix(e.Description, ".")
		meaning = strings.ToUpper(meaning[:1]) + meaning[1:] + "."
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, meaning)
	}
	assertPage(t, "EVENTS", page.String())
}

func TestSettingsPage(t *testing.T) {
	var grammar commands
	parser, err := kong.New(&grammar, kong.Name("rattanway"))
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	page.WriteString("# Settings\n\n" +
		"Each setting is a flag or an environment variable; the flag wins. A command\n" +
		"reports every wrong setting at once and then does nothing. Exit codes: 0 done,\n" +
		"1 failed, 2 wrong settings or arguments, 3 another operator's change came first.\n" +
		"This page is made from the command line itself: `go test ./cli -update`.\n")
	for _, command := range parser.Model.Leaves(true) {
		fmt.Fprintf(&page, "\n## %s\n\n%s\n", command.FullPath(), command.Help)
		writeFlags(&page, command)
	}
	assertPage(t, "SETTINGS", page.String())
}

// writeFlags writes a Markdown table of the command's flags.
func writeFlags(page *bytes.Buffer, command *kong.Node) {
	if len(command.Flags) == 0 {
		return
	}
	page.WriteString("\n| flag | environment | default | meaning |\n|---|---|---|---|\n")
	for _, f := range command.Flags {
		fmt.Fprintf(page, "| `--%s` | %s | %s | %s |\n", f.Name, codeSpan(strings.Join(f.Envs, ", ")), codeSpan(f.Default), f.Help)
	}
}

// codeSpan returns text as a Markdown code span, or "" if it is empty.
func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
