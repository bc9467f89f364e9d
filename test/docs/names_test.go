package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	codeName    = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+(?:\\.[A-Za-z]+)?)`")
	packagePath = regexp.MustCompile("`((?:internal|cmd|test)/[a-z/]+)`")
)

// Guards against pages that name packages, functions, methods or fields that do not
// exist.
func TestPagesNameWhatExists(t *testing.T) {
	packages := map[string]map[string]bool{}
	for _, page := range []string{"docs/architecture.md", "docs/glossary.md", "README.md"} {
		text, err := os.ReadFile("../../" + page)
		assert.NilError(t, err)
		for _, path := range packagePath.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat("../../" + path[1])
			assert.NilError(t, err, "%s mentions %s", page, path[1])
		}
		for _, m := range codeName.FindAllStringSubmatch(string(text), -1) {
			dir := "../../internal/" + m[1]
			if _, err := os.Stat(dir); err != nil && m[2] == "md" || m[2] == "toml" {
				continue // a file
			}
			if packages[m[1]] == nil {
				packages[m[1]] = declaredNames(t, dir)
			}
			assert.Check(t, packages[m[1]][m[2]], "%s mentions %s.%s", page, m[1], m[2])
		}
	}
	assert.Assert(t, len(packages) > 10, "only %d packages are mentioned", len(packages))
}

// declaredNames returns the names that a package declares: functions, types,
// constants, variables, and methods and fields as Type.Name.
func declaredNames(t *testing.T, dir string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no package in %s", dir)
	names := map[string]bool{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		assert.NilError(t, err)
		for _, d := range parsed.Decls {
			addDeclaration(names, d)
		}
	}
	return names
}

func addDeclaration(names map[string]bool, d ast.Decl) {
	if f, ok := d.(*ast.FuncDecl); ok {
		names[receiver(f)+f.Name.Name] = true
		return
	}
	for _, spec := range d.(*ast.GenDecl).Specs {
		switch s := spec.(type) {
		case *ast.ValueSpec:
			for _, n := range s.Names {
				names[n.Name] = true
			}
		case *ast.TypeSpec:
			names[s.Name.Name] = true
			addMembers(names, s)
		}
	}
}

func addMembers(names map[string]bool, s *ast.TypeSpec) {
	var fields *ast.FieldList
	switch t := s.Type.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, f := range fields.List {
		for _, n := range f.Names {
			names[s.Name.Name+"."+n.Name] = true
		}
	}
}

// receiver returns "Type." for a method and "" for a function.
func receiver(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	kind := f.Recv.List[0].Type
	if star, ok := kind.(*ast.StarExpr); ok {
		kind = star.X
	}
	if name, ok := kind.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}
