package apierror

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// declaredCodes returns the values of the Code constants in the source file.
func declaredCodes(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "apierror.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []string
	ast.Inspect(file, func(node ast.Node) bool {
		declared, ok := node.(*ast.ValueSpec)
		if !ok || len(declared.Values) != 1 || !strings.HasPrefix(declared.Names[0].Name, "Code") {
			return true
		}
		code, err := strconv.Unquote(declared.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		codes = append(codes, code)
		return true
	})
	return codes
}

func TestEveryCodeHasAnEntry(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	table, _, _ := strings.Cut(string(page), "## Exit codes")
	var described []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(table, -1) {
		described = append(described, row[1])
	}
	declared := declaredCodes(t)
	slices.Sort(described)
	slices.Sort(declared)
	if diff := cmp.Diff(declared, described); diff != "" || len(declared) == 0 {
		t.Errorf("docs/operations/errors.md does not match the codes (-code +page):\n%s", diff)
	}
}
