package guarder

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// root is the module's folder.
const root = "../../.."

// guarded finds the lock in the comment of a field. A lock of another struct is passed
// over: names alone don't tell whether it is held.
var guarded = regexp.MustCompile(`(?i)guarded\s+by\s+(\w+)\s*([.,;]|$)`)

// held finds in the comment of a function that its caller holds a lock, or why it needs
// none; unshared that nobody else has its receiver yet.
var (
	held     = regexp.MustCompile(`(?i)\b(holds|needs|under|without)\s+(\w+)`)
	unshared = regexp.MustCompile(`(?i)\bnot\s+shared\b`)
)

// function is a function with the locks that its text takes and gives back.
type function struct {
	body *ast.BlockStmt
	// receiver is the name of the receiver and of its type.
	receiver, of string
	held         map[string]bool
}

// TestGuardedFieldsAreUsedUnderTheirLock: symptom: the race detector stops one run in a
// hundred, and a companion's connection is read while another is put in its place.
// Sequence: a method takes the lock, copies a pointer, gives the lock back, and reads a
// field through the pointer. Cause: that the field was guarded stood nowhere, and nobody
// compared the comments that do say so with the code. It sees uses through a method's own
// receiver; what is handed out from under a lock is handed out by value.
func TestGuardedFieldsAreUsedUnderTheirLock(t *testing.T) {
	packages := make(map[string][]*ast.File)
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		packages[filepath.Dir(path)] = append(packages[filepath.Dir(path)], f)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	fields := 0
	for _, of := range packages {
		locks := fieldsOf(of)
		fields += len(locks)
		for _, f := range of {
			for _, use := range outside(files, f, locks) {
				t.Error(use)
			}
		}
	}
	if fields < 100 {
		t.Errorf("only %d guarded fields were found: the comments are not read", fields)
	}
}

// fieldsOf returns the lock of each guarded field, by TYPE.FIELD.
func fieldsOf(of []*ast.File) map[string]string {
	locks := make(map[string]string)
	for _, f := range of {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			s, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			for _, field := range s.Fields.List {
				m := guarded.FindStringSubmatch(field.Doc.Text())
				for _, name := range field.Names {
					if m != nil {
						locks[spec.Name.Name+"."+name.Name] = m[1]
					}
				}
			}
			return true
		})
	}
	return locks
}

// outside returns the uses of guarded fields of a receiver outside their lock.
func outside(files *token.FileSet, f *ast.File, locks map[string]string) []string {
	var found []string
	for _, d := range f.Decls {
		m, ok := d.(*ast.FuncDecl)
		if !ok || m.Recv == nil || m.Body == nil || len(m.Recv.List[0].Names) == 0 || unshared.MatchString(m.Doc.Text()) {
			continue
		}
		fn := function{body: m.Body, receiver: m.Recv.List[0].Names[0].Name, of: typeName(m.Recv.List[0].Type), held: make(map[string]bool)}
		for _, h := range held.FindAllStringSubmatch(m.Doc.Text(), -1) {
			fn.held[h[2]] = true
		}
		ast.Inspect(m.Body, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			x, ok := s.X.(*ast.Ident)
			if !ok || x.Name != fn.receiver {
				return true
			}
			lock, is := locks[fn.of+"."+s.Sel.Name]
			if is && !fn.held[lock] && !fn.under(lock, s.Pos()) {
				found = append(found, fmt.Sprintf("%s: %s.%s is used without %s", files.Position(s.Pos()), fn.of, s.Sel.Name, lock))
			}
			return true
		})
	}
	return found
}

func typeName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.IndexExpr:
		return typeName(t.X)
	case *ast.Ident:
		return t.Name
	default:
		return ""
	}
}

// under reports whether the last word on a lock before a place, on a way to it, took it.
func (f *function) under(lock string, at token.Pos) bool {
	taken := false
	var walk func(block []ast.Stmt)
	walk = func(block []ast.Stmt) {
		for _, s := range block {
			if s.Pos() > at {
				return
			}
			inside := s.Pos() <= at && at < s.End()
			if e, ok := s.(*ast.ExprStmt); ok {
				switch f.call(e.X, lock) {
				case "Lock", "RLock":
					taken = true
				case "Unlock", "RUnlock":
					taken = false
				}
				continue
			}
			if !inside && leaves(s) {
				continue
			}
			for _, b := range blocksOf(s) {
				if !inside || b.Pos() <= at && at < b.End() {
					walk(b.List)
				}
			}
		}
	}
	// A function literal that holds the place runs at another time: what stands before
	// it says nothing.
	body := f.body.List
	ast.Inspect(f.body, func(n ast.Node) bool {
		if l, ok := n.(*ast.FuncLit); ok && l.Pos() <= at && at < l.End() && takes(f, l.Body, lock) {
			body = l.Body.List
		}
		return true
	})
	walk(body)
	return taken
}

// takes reports whether a function literal takes the lock itself.
func takes(f *function, b *ast.BlockStmt, lock string) bool {
	found := false
	ast.Inspect(b, func(n ast.Node) bool {
		if e, ok := n.(ast.Expr); ok {
			found = found || strings.HasSuffix(f.call(e, lock), "Lock")
		}
		return true
	})
	return found
}

// call returns which method of a lock of the receiver is called, or nothing.
func (f *function) call(e ast.Expr, lock string) string {
	c, ok := e.(*ast.CallExpr)
	if !ok {
		return ""
	}
	s, ok := c.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	m, ok := s.X.(*ast.SelectorExpr)
	if !ok || m.Sel.Name != lock {
		return ""
	}
	return s.Sel.Name
}

// blocksOf returns the blocks of a statement.
func blocksOf(s ast.Stmt) []*ast.BlockStmt {
	var blocks []*ast.BlockStmt
	ast.Inspect(s, func(n ast.Node) bool {
		switch b := n.(type) {
		case *ast.FuncLit:
			return false
		case *ast.BlockStmt:
			blocks = append(blocks, b)
			return false
		case *ast.CaseClause:
			blocks = append(blocks, &ast.BlockStmt{Lbrace: b.Pos(), List: b.Body, Rbrace: b.End()})
			return false
		case *ast.CommClause:
			blocks = append(blocks, &ast.BlockStmt{Lbrace: b.Pos(), List: b.Body, Rbrace: b.End()})
			return false
		}
		return true
	})
	return blocks
}

// leaves reports whether a statement's only block leaves the function or the loop.
func leaves(s ast.Stmt) bool {
	return !slices.ContainsFunc(blocksOf(s), func(b *ast.BlockStmt) bool {
		if len(b.List) == 0 {
			return true
		}
		switch b.List[len(b.List)-1].(type) {
		case *ast.ReturnStmt, *ast.BranchStmt:
			return false
		default:
			return true
		}
	})
}
