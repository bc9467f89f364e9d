package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against accepting a file with a misspelt key or a missing entry.
func TestParseConfig(t *testing.T) {
	w, err := parseConfig("f", `
[table]
listen = "127.0.0.1:0"
[objects]
listen = "127.0.0.1:0"
[vms]
listen = "127.0.0.1:0"
lag = "2s"
[[vms.entry]]
peer = "127.0.0.1:1"
[[plain]]
name = "p"
listen = "127.0.0.1:0"
`)
	assert.NilError(t, err)
	assert.Equal(t, len(w.services()), 4)
	for text, want := range map[string]string{
		"[table]\nlisten = \"127.0.0.1:0\"\nlag = \"1s\"": "f: unknown key table.lag",
		"[[plain]]\nname = \"p\"":                         "f: plain p: listen is missing",
		"[vms]\nlag = 3":                                  "f: toml",
	} {
		_, err := parseConfig("f", text)
		assert.ErrorContains(t, err, want)
	}
}
