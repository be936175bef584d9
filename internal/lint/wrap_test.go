package lint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"
)

// TestWrapIsGuarded checks that calls of errors.Wrap and errors.Wrapf are guarded
// by a condition. These functions return an error even if they are called with a
// nil error, so an unguarded call would turn a success into a failure.
func TestWrapIsGuarded(t *testing.T) {
	for _, path := range goFiles(t, false) {
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		var stack []ast.Node
		ast.Inspect(file, func(n ast.Node) bool {
			if n == nil {
				stack = stack[:len(stack)-1]
				return true
			}
			if isWrapOfErr(n) && !guarded(stack) {
				t.Errorf("%s: errors.Wrap without a condition around it", fset.Position(n.Pos()))
			}
			stack = append(stack, n)
			return true
		})
	}
}

// isWrapOfErr reports whether n is a call of errors.Wrap or errors.Wrapf whose first
// argument is the variable err. A package-level error as the argument is never nil
// and needs no guard.
func isWrapOfErr(n ast.Node) bool {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return false
	}
	fun, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || fun.Sel.Name != "Wrap" && fun.Sel.Name != "Wrapf" {
		return false
	}
	pkg, ok := fun.X.(*ast.Ident)
	arg, isIdent := call.Args[0].(*ast.Ident)
	return ok && pkg.Name == "errors" && isIdent && arg.Name == "err"
}

// guarded reports whether the call at the top of stack is conditional. Within its
// innermost function, either an if, a case or a loop must enclose the call, or an
// if statement that compares with == must stand before the call.
func guarded(stack []ast.Node) bool {
	for i := len(stack) - 1; i >= 0; i-- {
		switch stack[i].(type) {
		case *ast.IfStmt, *ast.CaseClause, *ast.CommClause, *ast.ForStmt, *ast.RangeStmt:
			return true
		case *ast.FuncDecl, *ast.FuncLit:
			return hasEarlierCheck(stack[i], stack[len(stack)-1])
		}
	}
	return false
}

// hasEarlierCheck reports whether an if statement that compares with == stands
// before call in the function fn, for example one that returns when err is nil.
func hasEarlierCheck(fn, call ast.Node) bool {
	found := false
	ast.Inspect(fn, func(n ast.Node) bool {
		ifStmt, ok := n.(*ast.IfStmt)
		if !ok || n.Pos() >= call.Pos() {
			return true
		}
		comparison, ok := ifStmt.Cond.(*ast.BinaryExpr)
		found = found || ok && comparison.Op == token.EQL && len(ifStmt.Body.List) > 0
		return true
	})
	return found
}
