// Package examples checks the sample declarations and settings.
package examples

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/certs"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/ctl"
	"github.com/oriolefront/oriolefront/internal/settings"
)

// customers lists the users with their sizes from docs/design.md, section 1.
var customers = []struct {
	name, ip, plain           string
	engines, plains, accounts int
}{
	{"bibliobuz", "10.20.1.11", "lending", 15, 3, 10},
	{"pilbara", "10.30.1.11", "entries", 20, 3, 10},
}

// Guards against sample declarations that oriolectl rejects, or whose sizes differ
// from the design page.
func TestDeclarations(t *testing.T) {
	for _, c := range customers {
		file := c.name + ".toml"
		var out bytes.Buffer
		env := ctl.Env{Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }}
		assert.Equal(t, ctl.Run(t.Context(), env, []string{"check", file}), ctl.ExitOK, out.String())
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		declared, err := config.Parse(string(text))
		assert.NilError(t, err)
		targets := map[string]int{}
		for _, target := range declared.Targets {
			targets[target.Service]++
		}
		assert.DeepEqual(t, targets, map[string]int{"lm": c.engines, c.plain: c.plains})
		assert.Equal(t, len(declared.Accounts), c.accounts)
		assert.Equal(t, len(declared.Zones), 3)
		assert.Equal(t, len(declared.Links), 3)
	}
}

// Guards against sample settings for one machine that depend on other files.
func TestLoopbackSettings(t *testing.T) {
	_, err := settings.Load("loopback-entry.toml")
	assert.NilError(t, err)
}

// Guards against sample settings that oriolefront -check rejects although the
// certificates exist, and against a sample zone that is not declared.
func TestEntrySettings(t *testing.T) {
	for _, c := range customers {
		text, err := os.ReadFile(c.name + "-entry.toml")
		assert.NilError(t, err)
		declarations, err := os.ReadFile(c.name + ".toml")
		assert.NilError(t, err)
		t.Run(c.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			assert.NilError(t, certs.NewAuthority("certificates"))
			assert.NilError(t, certs.Issue("certificates", c.ip))
			file := filepath.Join(t.TempDir(), "entry.toml")
			assert.NilError(t, os.WriteFile(file, text, 0o600))
			s, err := settings.Load(file)
			assert.NilError(t, err)
			declared, err := config.Parse(string(declarations))
			assert.NilError(t, err)
			_, known := declared.Zones[s.VM.Zone]
			assert.Assert(t, known, s.VM.Zone)
		})
	}
}
