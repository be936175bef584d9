package declare

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a set of declarations.
type Problem struct {
	// File is the file's path; empty if the set was not read from files.
	File string `json:"file,omitempty"`
	// Line is the line number, counted from 1; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Kind is the object's kind; empty if the kind could not be read.
	Kind Kind `json:"kind,omitempty"`
	// Name is the object's name; empty if the name could not be read.
	Name string `json:"name,omitempty"`
	// Field is the field's name in the document; empty if the problem does not
	// belong to a field.
	Field string `json:"field,omitempty"`
	// Message describes the fault and the expected value.
	Message string `json:"why"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Kind != "" {
		fmt.Fprintf(&b, "%s %q: ", p.Kind, shorten(p.Name))
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Message)
	return b.String()
}

// InvalidError is returned when a set of declarations is refused because of problems
// in the set.
type InvalidError struct {
	// Problems lists the problems found.
	Problems []Problem
}

// Error implements error. The text has one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("declarations refused, %d problems", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Position is the position of an object in the files.
type Position struct {
	// File is the file's path.
	File string
	// Line is the line of the document's first field.
	Line int
	// Fields maps the name of each field to the number of its line.
	Fields map[string]int
}

// Positions maps the objects of a set to their positions in the files.
type Positions map[Ref]Position

// Locate returns a copy of problems with the known files and lines filled in,
// sorted by file and line.
func (p Positions) Locate(problems []Problem) []Problem {
	located := make([]Problem, len(problems))
	for i, problem := range problems {
		located[i] = p.locate(problem)
	}
	sortProblems(located)
	return located
}

// locate returns problem with the file and line filled in, if these are known.
func (p Positions) locate(problem Problem) Problem {
	position, ok := p[Ref{Kind: problem.Kind, Name: problem.Name}]
	if !ok || problem.File != "" {
		return problem
	}
	problem.File = position.File
	problem.Line = position.Line
	if line, ok := position.Fields[problem.Field]; ok {
		problem.Line = line
	}
	return problem
}

// sortProblems orders problems by file, line, object and field.
func sortProblems(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		if a.Name != b.Name {
			return a.Name < b.Name
		}
		return a.Field < b.Field
	})
}

// shorten truncates a text from untrusted input, so that the text fits into one line
// of a message.
func shorten(s string) string {
	const maxBytes = 80
	if len(s) <= maxBytes {
		return s
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(s[:maxBytes], ""), len(s))
}
