package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/operator"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/test/fleet"
)

const (
	vmCount     = 3
	engineCount = 3
	plainCount  = 2
	coldRunning = 2 // the stand-ins' bound, see fleet
	readyWithin = 30 * time.Second
)

// world is a fleet with an observer of its VMs and a client that counts events.
type world struct {
	f      *fleet.Fleet
	client *loadgen.Client
	counts *countingTransport
	http   *http.Client
	watch  *watcher
}

func startWorld(t *testing.T) *world {
	f := fleet.Start(t, fleet.Options{
		Engines: engineCount, Entries: vmCount, PlainServices: plainCount, EngineProxies: true,
		// Each second cache event is lost in every cell.
		EngineSettings: "cold-for = \"2s\"\nload-lag = \"100ms\"\ncache-event-lag = \"100ms\"\ncache-event-loss-every = 2\n",
	})
	w := &world{f: f, http: &http.Client{Timeout: 30 * time.Second}}
	var addresses []string
	for _, e := range f.Entries {
		addresses = append(addresses, e.CallerAddress)
	}
	w.client = loadgen.NewClient(addresses, fleet.AccountKey)
	w.counts = &countingTransport{base: w.client.HTTP.Transport}
	w.client.HTTP.Transport = w.counts
	w.watch = watch(t, f)
	// A patch against a version that the observer has not seen yet is refused.
	for end := time.Now().Add(readyWithin); w.watch.highest() == 0; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("harness: no VM said within %s that a configuration is in force", readyWithin)
		}
	}
	return w
}

// countingTransport counts the events of each answer while they arrive and
// asks for answers that can be resumed.
type countingTransport struct {
	base   http.RoundTripper
	events sync.Map // request id to *atomic.Int64
}

func (c *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	id := req.Header.Get("X-Request-Id")
	req = req.Clone(req.Context())
	req.Header.Set("X-Resumable", "true")
	resp, err := c.base.RoundTrip(req)
	if err == nil && id != "" {
		resp.Body = &countingBody{ReadCloser: resp.Body, n: c.counter(id)}
	}
	return resp, err
}

func (c *countingTransport) counter(id string) *atomic.Int64 {
	n, _ := c.events.LoadOrStore(id, &atomic.Int64{})
	return n.(*atomic.Int64)
}

type countingBody struct {
	io.ReadCloser
	n *atomic.Int64
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.n.Add(int64(bytes.Count(p[:n], []byte("data: "))))
	return n, err
}

// getJSON decodes the answer to a GET of a stand-in.
func (w *world) getJSON(url string, into any) error {
	resp, err := w.http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// post sends JSON and returns the status and the body.
func (w *world) post(ctx context.Context, url, key string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// control sets the faults of a stand-in.
func (w *world) control(address string, body any) error {
	status, text, err := w.post(context.Background(), "http://"+address+"/control", "", body)
	if err == nil && status >= 300 {
		err = fmt.Errorf("control of %s: %d %s", address, status, text)
	}
	return err
}

func (w *world) engineRecord(i int) (r fleet.EngineRecord, err error) {
	return r, w.getJSON("http://"+w.f.Engines[i].Address+"/record", &r)
}

func (w *world) plainRecord(i int) (r standin.PlainRecord, err error) {
	return r, w.getJSON("http://"+w.f.PlainServices[i].Address+"/record", &r)
}

func (w *world) inventory(i int) (v engine.Inventory, err error) {
	return v, w.getJSON("http://"+w.f.Engines[i].Address+"/v1/attempts", &v)
}

// rows counts the rows of the table whose keys begin with prefix. It asks the
// table directly, past the proxies.
func (w *world) rows(prefix string) (int, error) {
	_, text, err := w.post(context.Background(), "http://"+w.f.TableAddress+"/scan", "", store.ScanRequest{Prefix: prefix, Limit: 100_000})
	if err != nil {
		return 0, err
	}
	var answer store.RowsResponse
	if err := json.Unmarshal(text, &answer); err != nil {
		return 0, err
	}
	return len(answer.Rows), nil
}

// ready waits until a VM takes new requests.
func (w *world) ready(vm int, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	reason := "no answer"
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + w.f.Entries[vm].CallerAddress + "/readyz")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		reason = string(text)
	}
	return fmt.Errorf("VM %d is not ready within %s: %s", vm, timeout, reason)
}

// sighting is a version that a VM said it has in force.
type sighting struct {
	at      time.Time
	version uint64
}

// watcher asks all VMs for their version all the time.
type watcher struct {
	mu     sync.Mutex
	lives  [vmCount]int // starts of the process
	latest [vmCount]sighting
	first  [vmCount]map[uint64]time.Time // when a version or a later one was first seen
	falls  []string
}

const (
	watchInterval = 50 * time.Millisecond
	watchTimeout  = 400 * time.Millisecond
)

func watch(t *testing.T, f *fleet.Fleet) *watcher {
	w := &watcher{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for vm, e := range f.Entries {
		w.first[vm] = map[uint64]time.Time{}
		go func() {
			for ctx.Err() == nil {
				w.ask(ctx, vm, e.OperatorAddress)
				time.Sleep(watchInterval)
			}
		}()
	}
	return w
}

func (w *watcher) ask(ctx context.Context, vm int, address string) {
	w.mu.Lock()
	life := w.lives[vm]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var s operator.Status
	if json.NewDecoder(resp.Body).Decode(&s) == nil {
		w.note(vm, life, s.Version)
	}
}

func (w *watcher) note(vm, life int, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if life != w.lives[vm] {
		return
	}
	now := time.Now()
	before := w.latest[vm].version
	if version < before {
		w.falls = append(w.falls, fmt.Sprintf("VM %d went from version %d to %d", vm, before, version))
	}
	w.latest[vm] = sighting{at: now, version: version}
	for v := before + 1; v <= version; v++ {
		w.first[vm][v] = now
	}
}

// restarted forgets what the former process of a VM said.
func (w *watcher) restarted(vm int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives[vm]++
	w.latest[vm] = sighting{}
	clear(w.first[vm])
}

func (w *watcher) highest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := uint64(0)
	for _, s := range w.latest {
		version = max(version, s.version)
	}
	return version
}

// since returns when a VM first said that it has a version or a later one.
func (w *watcher) since(vm int, version uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.first[vm][version]
	return at, ok
}

func (w *watcher) takeFalls() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	falls := w.falls
	w.falls = nil
	return falls
}
