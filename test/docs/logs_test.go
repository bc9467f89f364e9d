package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	loggedRow  = regexp.MustCompile("(?m)^\\| (`[^|]+`) \\| [^|]+ \\|$")
	codeSpan   = regexp.MustCompile("`([^`]+)`")
	logMessage = regexp.MustCompile(`\bmsg=(?:"([^"]+)"|(\w+))`)
	logLine    = regexp.MustCompile("(?:[Ll]ines?|logs?|logged) ((?:`[a-z][A-Za-z ]+`(?:, | and | or )?)+)")
)

// Guards against operators' pages that quote a log message which the code does
// not write, or writes no more.
func TestPagesQuoteLogMessages(t *testing.T) {
	literals := stringLiterals(t)
	quoted := 0
	check := func(page, message string) {
		quoted++
		assert.Check(t, literals[message], "%s quotes the log message %q", page, message)
	}
	pages := []string{"../../docs/OPERATIONS.md"}
	for _, pattern := range []string{"../../docs/operate/*.md", "../../docs/incidents/*.md"} {
		found, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		pages = append(pages, found...)
	}
	for _, page := range pages {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		text := string(data)
		for _, m := range logMessage.FindAllStringSubmatch(text, -1) {
			check(page, m[1]+m[2])
		}
		for _, m := range logLine.FindAllStringSubmatch(text, -1) {
			for _, span := range codeSpan.FindAllStringSubmatch(m[1], -1) {
				check(page, span[1])
			}
		}
		if _, table, ok := strings.Cut(text, "## What is logged"); ok {
			table, _, _ = strings.Cut(table, "\n## ")
			for _, row := range loggedRow.FindAllStringSubmatch(table, -1) {
				for _, span := range codeSpan.FindAllStringSubmatch(row[1], -1) {
					check(page, span[1])
				}
			}
		}
	}
	assert.Assert(t, quoted > 30, "only %d messages are quoted", quoted)
}

// stringLiterals returns the strings in the sources of the programs.
func stringLiterals(t *testing.T) map[string]bool {
	t.Helper()
	literals := map[string]bool{}
	for _, root := range []string{"../../internal", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
					if s, err := strconv.Unquote(l.Value); err == nil {
						literals[s] = true
					}
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
	return literals
}
