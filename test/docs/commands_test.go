package docs

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/test/fleet"
)

var shellBlock = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")

// blockTimeout bounds the run time of one block of commands.
const blockTimeout = time.Minute

// runner runs the shell blocks of pages in one directory and environment.
type runner struct {
	dir        string // for files
	workingDir string // of the commands; dir if empty
	env        []string
}

// runPage runs all blocks of a page that are marked sh, in order. Each must exit
// with code 0.
func (r *runner) runPage(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	blocks := shellBlock.FindAllStringSubmatch(string(text), -1)
	assert.Assert(t, len(blocks) > 0, "%s has no commands", file)
	for _, block := range blocks {
		r.runBlock(t, file, block[1])
	}
}

func (r *runner) runBlock(t *testing.T, file, script string) {
	t.Helper()
	// The output goes to a file, because a background process that the block
	// starts would keep a pipe open.
	output, err := os.CreateTemp(r.dir, "output")
	assert.NilError(t, err)
	defer output.Close()
	cmd := exec.Command("sh", "-e", "-u", "-c", script)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = r.dir, r.env, output, output
	if r.workingDir != "" {
		cmd.Dir = r.workingDir
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(t, cmd.Start())
	timeout := time.AfterFunc(blockTimeout, func() { syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) })
	defer timeout.Stop()
	err = cmd.Wait()
	text, _ := os.ReadFile(output.Name())
	t.Logf("%s:\n%s\n%s", file, script, text)
	assert.NilError(t, err, "%s:\n%s\n%s", file, script, text)
}

// requirePrograms skips the test if a program that the pages call is not installed;
// the project itself requires only Go.
func requirePrograms(t *testing.T) {
	t.Helper()
	for _, name := range []string{"sh", "curl", "awk", "sed", "grep"} {
		if _, err := exec.LookPath(name); err != nil {
			t.Skipf("the pages call %s: %v", name, err)
		}
	}
}

func newOperatorsRunner(t *testing.T, f *fleet.Fleet) *runner {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(filepath.Join(dir, "examples"), os.DirFS("../../examples")))
	declarations, err := os.ReadFile(f.DeclarationsFile())
	assert.NilError(t, err)
	write := func(name, text string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("declarations-before.toml", string(declarations))
	write("declarations.toml", strings.Replace(string(declarations), `deadline = "20s"`, `deadline = "25s"`, 1))
	spare := f.Entries[2]
	return &runner{dir: dir, env: append(os.Environ(),
		"PATH="+fleet.BuildPrograms(t)+string(os.PathListSeparator)+os.Getenv("PATH"),
		"CALLERS="+f.Entries[0].CallerAddress,
		"ACCOUNT_KEY="+fleet.AccountKey,
		"ORIOLECTL_KEY="+fleet.OperatorKey,
		"ORIOLECTL_SERVERS=http://"+f.Entries[0].OperatorAddress+",http://"+f.Entries[1].OperatorAddress,
		"SETTINGS="+spare.SettingsFile(),
		"NEW_CALLERS="+spare.CallerAddress,
		"ZONE="+f.Engines[1].Zone,
		"TARGET="+f.Engines[1].Name,
	)}
}

// Guards against commands on the operators' pages that do not work as written.
func TestOperatorsCommands(t *testing.T) {
	requirePrograms(t)
	f := fleet.Start(t, fleet.Options{Engines: 3, Entries: 3, PlainServices: 1})
	assert.NilError(t, <-f.Entries[2].Stop()) // run.md starts this process again
	r := newOperatorsRunner(t, f)
	t.Cleanup(func() { killLeftoverProcess(t, filepath.Join(r.dir, "oriolefront.pid"), f.Entries[2].CallerAddress) })
	// change.md comes last, because it changes the seats.
	for _, page := range []string{"run.md", "incidents.md", "change.md"} {
		r.runPage(t, filepath.Join("../../docs/operate", page))
	}
}

// killLeftoverProcess kills the process that a failed run of run.md left running. It
// uses the process ID only if the process's address accepts connections, because
// IDs of ended processes are reused.
func killLeftoverProcess(t *testing.T, file, callers string) {
	text, err := os.ReadFile(file)
	pid, parseErr := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || parseErr != nil {
		return
	}
	if c, err := net.DialTimeout("tcp", callers, time.Second); err == nil {
		c.Close()
		t.Logf("process %d was left running; killing it", pid)
		syscall.Kill(pid, syscall.SIGKILL)
	}
}

// Guards against pages with many commands that no test runs.
func TestFewCommandsAreNotTested(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operate/*.md")
	assert.NilError(t, err)
	untested := 0
	for _, page := range append(pages, "../../README.md") {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		untested += strings.Count(string(text), "```console\n")
		assert.Assert(t, !regexp.MustCompile("(?m)^```(bash|shell)").Match(text), page)
	}
	assert.Assert(t, untested <= 4, "%d blocks", untested)
}
