package config

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var fieldRow = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|$")

// Guards against a kind or field that docs/configuration.md does not describe,
// and against a described one that does not exist.
func TestPageDescribesEveryField(t *testing.T) {
	text, err := os.ReadFile("../../docs/configuration.md")
	assert.NilError(t, err)
	described := map[string][]string{}
	for _, section := range strings.Split(string(text), "\n## ")[1:] {
		title, body, _ := strings.Cut(section, "\n")
		for _, row := range fieldRow.FindAllStringSubmatch(body, -1) {
			described[title] = append(described[title], row[1])
		}
	}
	declared := map[string][]string{}
	world := reflect.TypeFor[Config]()
	for i := range world.NumField() {
		tag := world.Field(i).Tag.Get("toml")
		switch {
		case tag == "" || tag == "-":
		case world.Field(i).Type.Kind() != reflect.Map:
			declared["Scalars"] = append(declared["Scalars"], tag)
		default:
			title := "`[" + tag + ".NAME]`"
			object := world.Field(i).Type.Elem()
			for j := range object.NumField() {
				declared[title] = append(declared[title], object.Field(j).Tag.Get("toml"))
			}
			_, known := kinds[tag]
			assert.Assert(t, known, "patches cannot address kind %s", tag)
		}
	}
	assert.DeepEqual(t, described, declared)
}
