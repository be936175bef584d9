package lint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"
)

// TestExportedItemsHaveComments checks that every exported function, method, type
// and ungrouped value has a doc comment.
func TestExportedItemsHaveComments(t *testing.T) {
	for _, path := range goFiles(t, false) {
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			for _, ident := range undocumented(decl) {
				t.Errorf("%s: %s has no doc comment", fset.Position(ident.Pos()), ident.Name)
			}
		}
	}
}

// undocumented returns the exported names of decl that have no doc comment.
func undocumented(decl ast.Decl) []*ast.Ident {
	switch d := decl.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil && exportedReceiver(d) {
			return []*ast.Ident{d.Name}
		}
	case *ast.GenDecl:
		if d.Doc != nil {
			return nil
		}
		var found []*ast.Ident
		for _, spec := range d.Specs {
			found = append(found, undocumentedSpec(spec)...)
		}
		return found
	}
	return nil
}

// exportedReceiver reports whether d is a function without a receiver or a method
// of an exported type.
func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	typ := d.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	ident, ok := typ.(*ast.Ident)
	return !ok || ident.IsExported()
}

// undocumentedSpec returns the exported names of spec that have no comment.
func undocumentedSpec(spec ast.Spec) []*ast.Ident {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		if s.Name.IsExported() && s.Doc == nil {
			return []*ast.Ident{s.Name}
		}
	case *ast.ValueSpec:
		if s.Doc != nil || s.Comment != nil {
			return nil
		}
		var found []*ast.Ident
		for _, name := range s.Names {
			if name.IsExported() {
				found = append(found, name)
			}
		}
		return found
	}
	return nil
}
