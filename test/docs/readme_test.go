package docs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/demo"
)

var exportLine = regexp.MustCompile(`(?m)^  export (CALLERS=.*)$`)

// Guards against commands of the README that do not work as written while the demo
// runs.
func TestReadmeCommands(t *testing.T) {
	requirePrograms(t)
	read, write := io.Pipe()
	var stderr bytes.Buffer // read after the demo has ended
	ended := make(chan int, 1)
	ctx, stop := cancelContext(t)
	go func() {
		ended <- demo.Run(ctx, nil, write, &stderr)
		write.CloseWithError(fmt.Errorf("the demo ended: %s", &stderr))
	}()
	printed := readUntil(t, read, "Ctrl-C ends it")
	rest := make(chan []byte, 1)
	go func() { text, _ := io.ReadAll(read); rest <- text }() // reading fails when the demo has ended
	export := exportLine.FindStringSubmatch(printed)
	assert.Assert(t, export != nil, printed)
	r := &runner{dir: t.TempDir(), env: append(os.Environ(), strings.Fields(export[1])...)}
	r.env = append(r.env, "TMPDIR="+r.dir)
	r.workingDir = "../.."
	r.runPage(t, "../../README.md")
	stop()
	assert.Equal(t, <-ended, demo.ExitOK)
	assert.Assert(t, strings.Contains(string(<-rest), "graceful shutdown complete"))
}

func cancelContext(t *testing.T) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	return ctx, stop
}

// readUntil reads text until it contains mark.
func readUntil(t *testing.T, r io.Reader, mark string) string {
	t.Helper()
	var text []byte
	buffer := make([]byte, 4096)
	for !strings.Contains(string(text), mark) {
		n, err := r.Read(buffer)
		text = append(text, buffer[:n]...)
		assert.NilError(t, err, "%s", text)
	}
	return string(text)
}

// Guards against programs without a usage text, or whose -h fails.
func TestProgramsPrintUsage(t *testing.T) {
	for _, c := range []struct{ program, text string }{
		{"oriolefront", "usage: oriolefront"},
		{"oriolectl", "usage: oriolectl"},
		{"orioleload", "orioleload measure"},
		{"oriolestandin", "usage: oriolestandin"},
		{"orioledemo", "usage: orioledemo"},
	} {
		out, err := exec.Command("go", "run", "../../cmd/"+c.program, "-h").Output() // usage must go to standard output, where a pager can read it
		assert.NilError(t, err, "%s -h: %s", c.program, out)
		assert.Assert(t, strings.Contains(string(out), c.text), "%s -h: %s", c.program, out)
		assert.Assert(t, strings.Contains(string(out), "exit codes:"), "%s -h names no exit codes: %s", c.program, out)
	}
}
