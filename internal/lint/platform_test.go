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

// wireNames returns the pattern of names of the users' platform that mean
// nothing in the product. Each line of the file is a pattern.
func wireNames(t *testing.T) *regexp.Regexp {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "platform", "testdata", "wire-names.txt"))
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(strings.Join(strings.Fields(string(raw)), "|"))
}

// TestWireNamesStandInThePlatformFolderAlone keeps the platform's names and
// formats at the boundary.
func TestWireNamesStandInThePlatformFolderAlone(t *testing.T) {
	names := wireNames(t)
	for _, path := range goFiles(t, true) {
		rel, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		if folder(rel) == "platform" {
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
				t.Errorf("%s: %s is a name of the platform's wire", fset.Position(lit.Pos()), lit.Value)
			}
			return true
		})
	}
}

// TestOnlyTheAssemblyImportsThePlatformFolder keeps the product apart from it.
func TestOnlyTheAssemblyImportsThePlatformFolder(t *testing.T) {
	for _, path := range goFiles(t, false) {
		rel, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		if f := folder(rel); f == "platform" || f == "daemon" || f == "cmd" || f == "cli" {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imp := range file.Imports {
			if name, err := strconv.Unquote(imp.Path.Value); err == nil && name == module+"platform" {
				t.Errorf("%s imports the platform folder", rel)
			}
		}
	}
}
