package declare

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/yaml.v3"
)

// Limits on the input of Parse and on its output.
const (
	// MaxFileBytes is the maximum size of a file, in bytes.
	MaxFileBytes = 1 << 20
	// MaxTotalBytes is the maximum size of all files together, in bytes.
	MaxTotalBytes = 8 << 20
	// MaxFiles is the maximum number of files that ReadFolder reads.
	MaxFiles = 2000
	// MaxObjects is the maximum number of objects in a set.
	MaxObjects = 20000
	// MaxProblems is the maximum number of problems that are reported at once.
	MaxProblems = 200
)

// File is one file of declarations.
type File struct {
	// Name is the file's path, as reported in problems.
	Name string `json:"name"`
	// Body is the YAML text.
	Body []byte `json:"body"`
}

// ReadFolder reads every .yaml and .yml file below dir and returns the files
// ordered by path. The names of the files are relative to dir.
func ReadFolder(dir string) ([]File, error) {
	var files []File
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() || !isYAML(path) {
			return nil
		}
		if len(files) == MaxFiles {
			return errors.Errorf("more than %d files", MaxFiles)
		}
		file, err := readFile(dir, path)
		files = append(files, file)
		return err
	})
	if err != nil {
		return nil, errors.Wrapf(err, "read declarations %s", dir)
	}
	if len(files) == 0 {
		return nil, errors.Errorf("read declarations %s: no .yaml file", dir)
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	return files, nil
}

// isYAML reports whether path has the extension of a YAML file.
func isYAML(path string) bool {
	ext := filepath.Ext(path)
	return ext == ".yaml" || ext == ".yml"
}

// readFile reads one file. It reads at most one byte more than MaxFileBytes, which
// is enough for Parse to detect a file that is too large.
func readFile(dir, path string) (File, error) {
	name, err := filepath.Rel(dir, path)
	if err != nil {
		return File{}, err
	}
	f, err := os.Open(path)
	if err != nil {
		return File{}, err
	}
	defer f.Close()
	body, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	return File{Name: filepath.ToSlash(name), Body: body}, err
}

// ParseResult is the result of parsing files.
type ParseResult struct {
	// Set holds the objects that were parsed without a problem.
	Set *Set
	// Positions holds the positions of the objects in the files.
	Positions Positions
}

// parser collects the objects and problems of all files.
type parser struct {
	parsed   ParseResult
	problems []Problem
	// file is the path of the file that is being parsed.
	file string
}

// Parse parses the documents of files. It returns the problems of syntax, type
// and name in all files, but at most MaxProblems. It does not check the
// references between objects; Validate does.
func Parse(files []File) (ParseResult, []Problem) {
	p := &parser{parsed: ParseResult{Set: NewSet(), Positions: Positions{}}}
	totalBytes := 0
	for _, f := range files {
		totalBytes += len(f.Body)
		if totalBytes > MaxTotalBytes {
			p.file = f.Name
			p.addProblem(1, fmt.Sprintf("the files together are larger than %d bytes", MaxTotalBytes))
			break
		}
		p.parseFile(f)
	}
	sortProblems(p.problems)
	if len(p.problems) > MaxProblems {
		p.problems = p.problems[:MaxProblems]
	}
	return p.parsed, p.problems
}

// Check parses files and, if Parse returns no problem, validates the set.
func Check(files []File) (ParseResult, []Problem) {
	parsed, problems := Parse(files)
	if len(problems) > 0 {
		return parsed, problems
	}
	return parsed, parsed.Positions.Locate(Validate(parsed.Set))
}

// addProblem adds a problem in the current file that does not belong to an object.
func (p *parser) addProblem(line int, message string) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Message: message})
}

// parseFile parses the documents of one file up to the first syntax error.
func (p *parser) parseFile(f File) {
	p.file = f.Name
	if len(f.Body) > MaxFileBytes {
		p.addProblem(1, fmt.Sprintf("the file is larger than %d bytes", MaxFileBytes))
		return
	}
	decoder := yaml.NewDecoder(bytes.NewReader(f.Body))
	for {
		var doc yaml.Node
		err := decodeDocument(decoder, &doc)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.addProblem(yamlLine(err), err.Error())
			return
		}
		p.parseDocument(&doc)
	}
}

// decodeDocument decodes the next document. It turns panics into errors, because the
// YAML library panics on some malformed input.
func decodeDocument(d *yaml.Decoder, doc *yaml.Node) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("yaml: malformed: %v", r)
		}
	}()
	return d.Decode(doc)
}

var yamlLinePattern = regexp.MustCompile(`line (\d+)`)

// yamlLine returns the line number in an error of the YAML library, or 1 if the
// error contains none.
func yamlLine(err error) int {
	match := yamlLinePattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 1
	}
	line, convErr := strconv.Atoi(match[1])
	if convErr != nil {
		return 1
	}
	return line
}

// parseDocument parses one document and adds its object to the set.
func (p *parser) parseDocument(doc *yaml.Node) {
	if len(doc.Content) == 0 {
		return
	}
	node := doc.Content[0]
	if node.Kind == yaml.ScalarNode && node.ShortTag() == "!!null" {
		return
	}
	if found := firstAnchorOrAlias(node); found != nil {
		p.addProblem(found.Line, "anchors and aliases are not allowed")
		return
	}
	if node.Kind != yaml.MappingNode {
		p.addProblem(node.Line, "want a document with the fields of one object")
		return
	}
	kind, name := scalarField(node, "kind"), scalarField(node, "name")
	c, ok := collectionFor(Kind(kind))
	if !ok {
		p.addProblem(node.Line, fmt.Sprintf("kind %q: want one of %s", shorten(kind), kindList()))
		return
	}
	p.parseObject(node, c, name)
}

// parseObject parses the fields of one object, and adds the object to the set if the
// object has no problem.
func (p *parser) parseObject(node *yaml.Node, c collection, name string) {
	d := &objectDecoder{file: p.file, ref: Ref{Kind: c.kind, Name: name}, lines: map[string]int{}}
	object := c.newObject()
	d.decodeMapping(node, object, "", true)
	if message := nameProblem(name); message != "" {
		d.addProblem(fieldLine(node, "name"), "name", message)
	}
	if first, ok := p.parsed.Positions[d.ref]; ok {
		d.addProblem(node.Line, "name", fmt.Sprintf("declared twice, first in %s:%d", first.File, first.Line))
	}
	if len(p.parsed.Positions) >= MaxObjects {
		d.addProblem(node.Line, "", fmt.Sprintf("more than %d objects", MaxObjects))
	}
	p.problems = append(p.problems, d.problems...)
	if len(d.problems) > 0 {
		return
	}
	p.parsed.Positions[d.ref] = Position{File: p.file, Line: node.Line, Fields: d.lines}
	c.put(p.parsed.Set, name, object)
}

// firstAnchorOrAlias returns the first node in the tree of node that is an alias
// or has an anchor, or nil if there is none.
func firstAnchorOrAlias(node *yaml.Node) *yaml.Node {
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		return node
	}
	for _, child := range node.Content {
		if found := firstAnchorOrAlias(child); found != nil {
			return found
		}
	}
	return nil
}

// scalarField returns the value of a scalar field of a mapping, or "" if the
// mapping has no such field.
func scalarField(node *yaml.Node, field string) string {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == field && node.Content[i+1].Kind == yaml.ScalarNode {
			return node.Content[i+1].Value
		}
	}
	return ""
}

// fieldLine returns the line of a field of a mapping, or the line of the mapping
// if the mapping has no such field.
func fieldLine(node *yaml.Node, field string) int {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == field {
			return node.Content[i].Line
		}
	}
	return node.Line
}

// kindList returns the names of all kinds, separated by commas.
func kindList() string {
	names := make([]string, len(collections))
	for i, c := range collections {
		names[i] = string(c.kind)
	}
	return strings.Join(names, ", ")
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// nameProblem returns the message of a problem if name is not valid, and ""
// otherwise.
func nameProblem(name string) string {
	if name == "" {
		return "missing"
	}
	if !namePattern.MatchString(name) {
		return "want 1 to 63 letters, digits, dots, dashes and underscores, the first a letter or digit"
	}
	return ""
}
