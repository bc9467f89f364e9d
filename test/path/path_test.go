// Package path tests the whole path of a request with real processes.
package path

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/standin"
)

const accountKey = "librarian-key"

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func build(t *testing.T, dir, name string) string {
	t.Helper()
	bin := filepath.Join(dir, name)
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/"+name).CombinedOutput()
	assert.NilError(t, err, string(out))
	return bin
}

func start(t *testing.T, bin string, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(bin, args...)
	var output bytes.Buffer
	cmd.Stderr = &output
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		if t.Failed() {
			t.Logf("%s: %s", filepath.Base(bin), output.String())
		}
	})
	return cmd
}

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	file := filepath.Join(dir, name)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func await(t *testing.T, url string) {
	t.Helper()
	for range 200 {
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s did not become ready", url)
}

// fleet is two engines and two entry processes.
type fleet struct {
	engines []string
	entries []string
}

func startFleet(t *testing.T) fleet {
	dir := t.TempDir()
	f := fleet{
		engines: []string{freeAddress(t), freeAddress(t)},
		entries: []string{freeAddress(t), freeAddress(t)},
	}
	world, declarations := "", fmt.Sprintf(`
[zone.iasi]
region = "ro-moldova"
[contract.standard]
deadline = "20s"
[account.librarians]
contract = "standard"
key-hashes = ["%s"]
[service.lm]
kind = "model"
[route.lm]
model = "catalogue"
service = "lm"
`, auth.KeyHash(accountKey))
	for i, address := range f.engines {
		world += fmt.Sprintf(`
[[engine]]
name = "e%d"
listen = "%s"
kv-tokens = 400000
prefill-tokens-per-second = 200000
decode-tokens-per-second = 200
max-running = 32
cold-running = 1
models = ["catalogue"]
`, i, address)
		declarations += fmt.Sprintf(`
[target.e%d]
service = "lm"
zone = "iasi"
address = "%s"
models = ["catalogue"]
kv-tokens = 400000
prefill-tokens-per-second = 200000
decode-tokens-per-second = 200
max-running = 32
`, i, address)
	}
	file := write(t, dir, "declarations.toml", declarations)
	start(t, build(t, dir, "oriolestandin"), "-world", write(t, dir, "world.toml", world))
	bin := build(t, dir, "oriolefront")
	for i, address := range f.entries {
		settings := fmt.Sprintf(`
declarations = "%s"
[vm]
address = "127.0.0.1"
zone = "iasi"
[listen]
callers = "%s"
operators = "%s"
peers = "%s"
[platform]
table = "http://127.0.0.1:9"
objects = "http://127.0.0.1:9"
vms = "http://127.0.0.1:9"
[keys]
resume = "%s"
[peers]
plaintext = true
`, file, address, freeAddress(t), freeAddress(t), strings.Repeat("0f", 32))
		start(t, bin, "-settings", write(t, dir, fmt.Sprintf("entry%d.toml", i), settings))
	}
	for _, address := range f.entries {
		await(t, "http://"+address+"/readyz")
	}
	return f
}

func post(t *testing.T, address, body string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+accountKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func wantText(prompt string, n int) string {
	var b strings.Builder
	quoted, _ := json.Marshal(prompt)
	hash := standin.PromptHash(quoted)
	for i := range n {
		b.WriteString(standin.AnswerToken(hash, i))
	}
	return b.String()
}

// streamedText reads a stream until its end mark.
func streamedText(t *testing.T, body io.Reader, each func(events int)) (text string, whole bool) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	events := 0
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		for _, c := range chunk.Choices {
			text += c.Text
		}
		events++
		if each != nil {
			each(events)
		}
	}
	return text, false
}

// Guards against answers that arrive incomplete or altered on the way.
func TestAnswersComeBackWhole(t *testing.T) {
	f := startFleet(t)
	for _, entry := range f.entries {
		resp := post(t, entry, `{"model":"catalogue","prompt":"who wrote this?","max_tokens":20}`)
		var answer struct {
			Choices []struct{ Text string }
		}
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
		assert.Equal(t, answer.Choices[0].Text, wantText("who wrote this?", 20))

		resp = post(t, entry, `{"model":"catalogue","prompt":"and this?","max_tokens":30,"stream":true}`)
		text, whole := streamedText(t, resp.Body, nil)
		assert.Assert(t, whole)
		assert.Equal(t, text, wantText("and this?", 30))
	}
}

// Guards against a cut, repeated or foreign part when engines die under an
// answer.
func TestEngineDiesUnderAnAnswer(t *testing.T) {
	f := startFleet(t)
	resp := post(t, f.entries[0], `{"model":"catalogue","prompt":"a long story","max_tokens":200,"stream":true}`)
	text, whole := streamedText(t, resp.Body, func(events int) {
		if events != 20 {
			return
		}
		for _, engine := range f.engines[:1] {
			r, err := http.Post("http://"+engine+"/control", "application/json", strings.NewReader(`{"crash":true}`))
			assert.NilError(t, err)
			r.Body.Close()
		}
	})
	assert.Assert(t, whole)
	assert.Equal(t, text, wantText("a long story", 200))
}
