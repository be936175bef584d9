package lint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// platformWireNames returns a pattern for names that only the protocol of the
// users' platform uses. Each line of the file wire-names.txt is a pattern for one
// name.
func platformWireNames(t *testing.T) *regexp.Regexp {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(moduleRoot, "platform", "testdata", "wire-names.txt"))
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(strings.Join(strings.Fields(string(raw)), "|"))
}

// TestPlatformWireNamesOnlyInPlatformFolder checks that no string outside the
// platform folder contains a name from the protocol of the users' platform.
func TestPlatformWireNamesOnlyInPlatformFolder(t *testing.T) {
	names := platformWireNames(t)
	for _, path := range goFiles(t, true) {
		rel, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			t.Fatal(err)
		}
		if topFolder(rel) == "platform" {
			continue
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if ok && lit.Kind == token.STRING && names.MatchString(lit.Value) {
				t.Errorf("%s: %s contains a name from the protocol of the users' platform", fset.Position(lit.Pos()), lit.Value)
			}
			return true
		})
	}
}

// TestOnlyTheAssemblyImportsThePlatformFolder checks that no folder except cli, cmd
// and daemon, which assemble programs, imports the platform folder.
func TestOnlyTheAssemblyImportsThePlatformFolder(t *testing.T) {
	for _, path := range goFiles(t, false) {
		rel, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			t.Fatal(err)
		}
		if f := topFolder(rel); f == "platform" || f == "daemon" || f == "cmd" || f == "cli" {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imp := range file.Imports {
			if name, err := strconv.Unquote(imp.Path.Value); err == nil && name == modulePrefix+"platform" {
				t.Errorf("%s imports the platform folder", rel)
			}
		}
	}
}
