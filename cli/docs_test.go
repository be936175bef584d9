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

// checkPage compares a page under docs with what the code says. Run the test
// with -update to write the page anew.
func checkPage(t *testing.T, name, body string) {
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
		meaning := strings.TrimSuffix(e.Meaning, ".")
		meaning = strings.ToUpper(meaning[:1]) + meaning[1:] + "."
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, meaning)
	}
	checkPage(t, "EVENTS", page.String())
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
	for _, leaf := range parser.Model.Leaves(true) {
		fmt.Fprintf(&page, "\n## %s\n\n%s\n", leaf.FullPath(), leaf.Help)
		writeFlags(&page, leaf)
	}
	checkPage(t, "SETTINGS", page.String())
}

// writeFlags writes the table of a command's flags.
func writeFlags(page *bytes.Buffer, leaf *kong.Node) {
	if len(leaf.Flags) == 0 {
		return
	}
	page.WriteString("\n| flag | environment | default | meaning |\n|---|---|---|---|\n")
	for _, f := range leaf.Flags {
		fmt.Fprintf(page, "| `--%s` | %s | %s | %s |\n", f.Name, code(strings.Join(f.Envs, ", ")), code(f.Default), f.Help)
	}
}

// code sets text in code type, or leaves a cell empty.
func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
