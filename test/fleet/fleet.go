// Package fleet starts real entry processes and stand-ins for tests.
// Fault-injecting proxies sit between each entry process and the store, between
// the entry processes and, optionally, before the engines.
package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/certs"
	"github.com/oriolefront/oriolefront/internal/faultproxy"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

// API keys of the fleet's accounts and operator.
const (
	AccountKey      = "fleet-account-key"
	OtherAccountKey = "fleet-other-account-key"
	OperatorKey     = "fleet-operator-key"
)

// Options describe a fleet.
type Options struct {
	Engines       int
	Entries       int
	PlainServices int
	// EngineSettings is added to each engine of the stand-ins' world file.
	EngineSettings string
	// TargetSettings is added to each engine's declaration.
	TargetSettings string
	// ExtraDeclarations is added to the declarations.
	ExtraDeclarations string
	// CertificateDir is a directory written by package certs with a certificate
	// for 127.0.0.1. If it is set, links use mutual TLS, otherwise plaintext.
	CertificateDir string
	// EngineProxies puts a fault-injecting proxy between the entry processes
	// and each engine.
	EngineProxies bool
}

// Engine is an engine stand-in.
type Engine struct {
	Name, Zone, Address string
	// Proxy is the proxy between the entry processes and the engine, or nil.
	Proxy *faultproxy.Proxy
}

// declaredAddress returns the address of the engine in the configuration.
func (e Engine) declaredAddress() string {
	if e.Proxy != nil {
		return e.Proxy.Address()
	}
	return e.Address
}

// PlainService is a stand-in for a plain service.
type PlainService struct {
	Name, Address string
}

// Entry is an entry process.
type Entry struct {
	CallerAddress, OperatorAddress, PeerAddress string
	// StoreProxy is between the process and the table service, PeerProxy
	// between the other entry processes and this one.
	StoreProxy, PeerProxy *faultproxy.Proxy

	fleet  *Fleet
	file   string
	number int
	cmd    *exec.Cmd
	output *output
	exited chan error
}

// Fleet is a set of running entry processes and stand-ins.
type Fleet struct {
	Engines       []Engine
	PlainServices []PlainService
	Entries       []*Entry

	TableAddress, ObjectStoreAddress, VMListAddress string // addresses
	// CertificateDir is used by entry processes that are added from now on.
	CertificateDir string

	t            *testing.T
	dir          string
	declarations string
	programs     programPaths
}

type programPaths struct{ dir, entry, standin, ctl string }

var (
	buildOnce     sync.Once
	builtPrograms programPaths
	buildErr      error
)

// buildPrograms compiles the programs once per test binary.
func buildPrograms(t *testing.T) programPaths {
	t.Helper()
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "oriolefront-test-")
		if err != nil {
			buildErr = err
			return
		}
		builtPrograms.dir = dir
		for name, path := range map[string]*string{"oriolefront": &builtPrograms.entry, "oriolestandin": &builtPrograms.standin, "oriolectl": &builtPrograms.ctl} {
			*path = filepath.Join(dir, name)
			out, err := exec.Command("go", "build", "-o", *path, "github.com/oriolefront/oriolefront/cmd/"+name).CombinedOutput()
			if err != nil {
				buildErr = fmt.Errorf("build %s: %w: %s", name, err, out)
				return
			}
		}
	})
	assert.NilError(t, buildErr)
	return builtPrograms
}

// BuildPrograms compiles oriolefront, oriolestandin and oriolectl and returns the
// directory that contains them.
func BuildPrograms(t *testing.T) string {
	t.Helper()
	return buildPrograms(t).dir
}

// DeclarationsFile returns the path of the file with the fleet's declarations.
func (f *Fleet) DeclarationsFile() string { return f.declarations }

// FreeAddress returns a loopback address on which no process currently listens.
func FreeAddress(t *testing.T) string {
	t.Helper()
	address, err := tcp.ReserveLoopbackAddress()
	assert.NilError(t, err)
	return address
}

var zones = []string{"iasi", "suceava", "bacau"}

// Start starts a fleet, submits its configuration and waits until every entry
// process is ready.
func Start(t *testing.T, o Options) *Fleet {
	t.Helper()
	f := &Fleet{t: t, dir: t.TempDir(), programs: buildPrograms(t), CertificateDir: o.CertificateDir}
	f.startStandIns(o)
	for range o.Entries {
		f.AddEntry()
	}
	for _, e := range f.Entries {
		Eventually(t, 10*time.Second, "operator interface responds", func() bool {
			resp, err := http.Get("http://" + e.OperatorAddress + "/status")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return true
		})
	}
	f.declarations = f.writeFile("declarations.toml", f.declarationsText(o))
	f.Ctl(0, "-yes", "apply", f.declarations)
	for _, e := range f.Entries {
		e.AwaitReady(30 * time.Second)
	}
	return f
}

func (f *Fleet) startStandIns(o Options) {
	f.TableAddress, f.ObjectStoreAddress, f.VMListAddress = FreeAddress(f.t), FreeAddress(f.t), FreeAddress(f.t)
	world := fmt.Sprintf("[table]\nlisten = %q\n[objects]\nlisten = %q\n[vms]\nlisten = %q\n", f.TableAddress, f.ObjectStoreAddress, f.VMListAddress)
	for i := range o.Engines {
		e := Engine{Name: fmt.Sprintf("e%d", i), Zone: zones[i%len(zones)], Address: FreeAddress(f.t)}
		if o.EngineProxies {
			e.Proxy = f.startProxy(e.Address)
		}
		f.Engines = append(f.Engines, e)
		world += fmt.Sprintf(`
[[engine]]
name = %q
listen = %q
kv-tokens = 400000
prefill-tokens-per-second = 200000
decode-tokens-per-second = 200
max-running = 32
cold-running = 2
models = ["catalogue"]
%s
`, e.Name, e.Address, o.EngineSettings)
	}
	for i := range o.PlainServices {
		p := PlainService{Name: fmt.Sprintf("p%d", i), Address: FreeAddress(f.t)}
		f.PlainServices = append(f.PlainServices, p)
		world += fmt.Sprintf("\n[[plain]]\nname = %q\nlisten = %q\n", p.Name, p.Address)
	}
	f.startProcess(f.programs.standin, "-world", f.writeFile("world.toml", world))
	Eventually(f.t, 10*time.Second, "stand-ins respond", func() bool {
		resp, err := http.Get("http://" + f.VMListAddress + "/vms")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	})
}

func (f *Fleet) declarationsText(o Options) string {
	text := fmt.Sprintf(`
seats = %d
[contract.standard]
deadline = "20s"
[account.librarians]
contract = "standard"
key-hashes = [%q]
[account.stewards]
contract = "standard"
key-hashes = [%q]
[service.lm]
kind = "model"
[route.lm]
model = "catalogue"
service = "lm"
[service.lending]
kind = "plain"
[route.lending]
model = "lending"
service = "lending"
%s
`, o.Entries, auth.KeyHash(AccountKey), auth.KeyHash(OtherAccountKey), o.ExtraDeclarations)
	for _, zone := range zones {
		text += fmt.Sprintf("[zone.%s]\nregion = \"ro-moldova\"\n", zone)
	}
	for _, e := range f.Engines {
		text += fmt.Sprintf(`
[target.%s]
service = "lm"
zone = %q
address = %q
models = ["catalogue"]
kv-tokens = 400000
prefill-tokens-per-second = 200000
decode-tokens-per-second = 200
max-running = 32
cold-running = 2
%s
`, e.Name, e.Zone, e.declaredAddress(), o.TargetSettings)
	}
	for i, p := range f.PlainServices {
		text += fmt.Sprintf("\n[target.%s]\nservice = \"lending\"\nzone = %q\naddress = %q\nmax-running = 32\n", p.Name, zones[i%len(zones)], p.Address)
	}
	return text
}

func (f *Fleet) writeFile(name, text string) string {
	f.t.Helper()
	file := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// output keeps the last maxOutput bytes that a process wrote.
type output struct {
	mu   sync.Mutex
	text []byte
}

const maxOutput = 64 << 10

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text = append(o.text, p...)
	if len(o.text) > maxOutput {
		o.text = o.text[len(o.text)-maxOutput:]
	}
	return len(p), nil
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.text)
}

// startProcess starts a process that is killed when the test ends.
func (f *Fleet) startProcess(bin string, args ...string) (*exec.Cmd, *output, chan error) {
	cmd := exec.Command(bin, args...)
	// In a process group of its own: if the shell that started the tests ends while a process is
	// stopped, the kernel sends SIGHUP to all processes of an orphaned group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out := &output{}
	cmd.Stderr = out
	assert.NilError(f.t, cmd.Start())
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	f.t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGCONT)
		cmd.Process.Kill()
		if f.t.Failed() && os.Getenv("FLEET_LOGS") != "" {
			f.t.Logf("%s: %s", filepath.Base(bin), out)
		}
	})
	return cmd, out, exited
}

// AddEntry adds an entry process to the VM list and starts it.
func (f *Fleet) AddEntry() *Entry {
	f.t.Helper()
	e := &Entry{
		CallerAddress: FreeAddress(f.t), OperatorAddress: FreeAddress(f.t), PeerAddress: FreeAddress(f.t),
		fleet: f, number: len(f.Entries),
	}
	e.StoreProxy = f.startProxy(f.TableAddress)
	e.PeerProxy = f.startProxy(e.PeerAddress)
	zone := zones[e.number%len(zones)]
	e.file = f.writeFile(fmt.Sprintf("entry%d.toml", e.number), fmt.Sprintf(`
[vm]
address = "127.0.0.1"
zone = %q
[listen]
callers = %q
operators = %q
peers = %q
advertise-peers = %q
[platform]
table = "http://%s"
objects = "http://%s"
vms = "http://%s"
[keys]
resume = %q
operators = { fleet = %q }
[peers]
%s
[limits]
drain-delay = "100ms"
`, zone, e.CallerAddress, e.OperatorAddress, e.PeerAddress, e.PeerProxy.Address(), e.StoreProxy.Address(), f.ObjectStoreAddress, f.VMListAddress,
		strings.Repeat("0f", 32), auth.KeyHash(OperatorKey), f.peerSecurity()))
	f.Register(e, zone)
	e.Start()
	f.Entries = append(f.Entries, e)
	return e
}

// peerSecurity returns the security settings of the links between entry processes.
func (f *Fleet) peerSecurity() string {
	if f.CertificateDir == "" {
		return "plaintext = true"
	}
	file := func(name string) string { return filepath.Join(f.CertificateDir, name) }
	return fmt.Sprintf("certificate = %q\nprivate-key = %q\nauthority = %q",
		file("127.0.0.1.pem"), file("127.0.0.1-key.pem"), file(certs.AuthorityFile))
}

func (f *Fleet) startProxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.Start(target)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { p.Close() })
	return p
}

// Register adds an entry process to the platform's VM list.
func (f *Fleet) Register(e *Entry, zone string) {
	vm := store.VM{Address: "127.0.0.1", Peer: e.PeerProxy.Address(), Zone: zone, State: store.VMLive}
	f.Control(f.VMListAddress, standin.VMListControl{Register: []store.VM{vm}})
}

// Unregister removes an entry process from the platform's VM list.
func (f *Fleet) Unregister(e *Entry) {
	f.Control(f.VMListAddress, standin.VMListControl{Remove: []string{e.PeerProxy.Address()}})
}

// Control sends a request to the control interface of a stand-in.
func (f *Fleet) Control(address string, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(f.t, err)
	resp, err := http.Post("http://"+address+"/control", "application/json", bytes.NewReader(data))
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	assert.Assert(f.t, resp.StatusCode < 300, string(text))
}

// Ctl runs oriolectl against one entry process and requires success.
func (f *Fleet) Ctl(entry int, args ...string) string {
	f.t.Helper()
	out, code := f.CtlExitCode(entry, args...)
	assert.Equal(f.t, code, 0, out)
	return out
}

// CtlExitCode runs oriolectl against one entry process and returns its output and
// exit code.
func (f *Fleet) CtlExitCode(entry int, args ...string) (string, int) {
	f.t.Helper()
	cmd := exec.Command(f.programs.ctl, append([]string{"-servers", "http://" + f.Entries[entry].OperatorAddress}, args...)...)
	cmd.Env = append(os.Environ(), "ORIOLECTL_KEY="+OperatorKey)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Start starts the process, or restarts it after it has ended.
func (e *Entry) Start() {
	e.cmd, e.output, e.exited = e.fleet.startProcess(e.fleet.programs.entry, "-settings", e.file)
}

// SettingsFile returns the path of the process's settings file.
func (e *Entry) SettingsFile() string { return e.file }

// Kill kills the process and waits until it has ended.
func (e *Entry) Kill() {
	e.cmd.Process.Kill()
	<-e.exited
}

// Freeze suspends the process with SIGSTOP until Thaw; the process cannot notice it.
func (e *Entry) Freeze() { e.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (e *Entry) Thaw() { e.cmd.Process.Signal(syscall.SIGCONT) }

// Stop requests a graceful shutdown and returns a channel that receives the result
// of the process.
func (e *Entry) Stop() <-chan error {
	e.cmd.Process.Signal(syscall.SIGTERM)
	return e.exited
}

// Running reports whether the process has not ended.
func (e *Entry) Running() bool { return e.cmd.Process.Signal(syscall.Signal(0)) == nil }

// Log returns the last part of the process's log.
func (e *Entry) Log() string { return e.output.String() }

// AwaitReady waits until the process accepts new requests.
func (e *Entry) AwaitReady(timeout time.Duration) {
	e.fleet.t.Helper()
	reason := "no response"
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + e.CallerAddress + "/readyz")
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
			reason = string(text)
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.fleet.t.Fatalf("entry process %d is not ready: %s\n%s", e.number, reason, e.Log())
}

// EngineRecord is the record of an engine stand-in: its maxima and its event log.
type EngineRecord struct {
	Summary standin.Summary
	Entries []standin.Entry
}

// EngineRecord fetches the record of an engine.
func (f *Fleet) EngineRecord(e Engine) EngineRecord {
	f.t.Helper()
	var r EngineRecord
	f.GetJSON("http://"+e.Address+"/record", &r)
	return r
}

// GetJSON sends a GET request and decodes the JSON response.
func (f *Fleet) GetJSON(url string, into any) {
	f.t.Helper()
	resp, err := http.Get(url)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(into))
}

// Eventually polls a condition and fails the test if it is not true within timeout.
func Eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("condition not met within %s: %s", timeout, what)
}
