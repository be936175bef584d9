package lint

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	modulePrefix = "github.com/rattanway/rattanway/"
	moduleRoot   = "../.."
)

// layers orders folders by the lifetime of the state that their packages handle,
// the longest first. A package may import only from folders with the same number as
// its own folder or a lower number. Folders that are not listed assemble the
// others: they may import from every layer, and listed folders may not import from
// them.
var layers = map[string]int{
	"core":       0,
	"process":    1,
	"version":    2,
	"connection": 3,
	"request":    4,
}

// goFiles returns the paths of the module's Go files. Test files are left out
// unless includeTests is true. Folders whose names begin with a dot are skipped.
func goFiles(t *testing.T, includeTests bool) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(moduleRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != moduleRoot {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		if !includeTests && strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files = append(files, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// topFolder returns the first element of a path relative to the module's root.
func topFolder(path string) string {
	first, _, _ := strings.Cut(filepath.ToSlash(path), "/")
	return first
}

func TestImportsFollowLayers(t *testing.T) {
	for _, path := range goFiles(t, false) {
		rel, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			t.Fatal(err)
		}
		ownLayer, hasLayer := layers[topFolder(rel)]
		if !hasLayer {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imp := range file.Imports {
			name, err := strconv.Unquote(imp.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			imported, inModule := strings.CutPrefix(name, modulePrefix)
			if !inModule {
				continue
			}
			layer, ok := layers[topFolder(imported)]
			if !ok || layer > ownLayer {
				t.Errorf("%s imports %s, which is in a higher layer or in no layer", rel, imported)
			}
		}
	}
}

func TestNoFileIsOverlong(t *testing.T) {
	const maxLines = 500
	for _, path := range goFiles(t, true) {
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, parser.PackageClauseOnly)
		if err != nil {
			t.Fatal(err)
		}
		if n := fset.File(file.Pos()).LineCount(); n > maxLines {
			t.Errorf("%s has %d lines, more than %d", path, n, maxLines)
		}
	}
}
