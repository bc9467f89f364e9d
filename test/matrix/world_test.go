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
	vmCount      = 3
	engineCount  = 3
	plainCount   = 2
	coldRunning  = 2 // cold-running of the engines, set in package fleet
	readyTimeout = 30 * time.Second
)

// harness is a fleet with an observer of the VMs' configuration versions and a client
// that counts events.
type harness struct {
	fleet       *fleet.Fleet
	client      *loadgen.Client
	eventCounts *countingTransport
	http        *http.Client
	versions    *versionObserver
}

func startHarness(t *testing.T) *harness {
	f := fleet.Start(t, fleet.Options{
		Engines: engineCount, Entries: vmCount, PlainServices: plainCount, EngineProxies: true,
		// Every second cache event is lost in all cells.
		EngineSettings: "cold-for = \"2s\"\nload-lag = \"100ms\"\ncache-event-lag = \"100ms\"\ncache-event-loss-every = 2\n",
	})
	h := &harness{fleet: f, http: &http.Client{Timeout: 30 * time.Second}}
	var addresses []string
	for _, e := range f.Entries {
		addresses = append(addresses, e.CallerAddress)
	}
	h.client = loadgen.NewClient(addresses, fleet.AccountKey)
	h.eventCounts = &countingTransport{base: h.client.HTTP.Transport}
	h.client.HTTP.Transport = h.eventCounts
	h.versions = startVersionObserver(t, f)
	// Patches are submitted against the highest observed version; until one is
	// observed they would be refused.
	for end := time.Now().Add(readyTimeout); h.versions.highest() == 0; time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("harness: no VM reported an active configuration within %s", readyTimeout)
		}
	}
	return h
}

// countingTransport requests resumable responses and counts the events of each
// response as they arrive.
type countingTransport struct {
	base   http.RoundTripper
	events sync.Map // request ID to *atomic.Int64
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

// getJSON decodes the response of a stand-in to a GET request.
func (h *harness) getJSON(url string, into any) error {
	resp, err := h.http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// post sends JSON and returns the status and the body.
func (h *harness) post(ctx context.Context, url, key string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := h.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// control sets the faults of a stand-in.
func (h *harness) control(address string, body any) error {
	status, text, err := h.post(context.Background(), "http://"+address+"/control", "", body)
	if err == nil && status >= 300 {
		err = fmt.Errorf("control of %s: %d %s", address, status, text)
	}
	return err
}

func (h *harness) engineRecord(i int) (r fleet.EngineRecord, err error) {
	return r, h.getJSON("http://"+h.fleet.Engines[i].Address+"/record", &r)
}

func (h *harness) plainRecord(i int) (r standin.PlainRecord, err error) {
	return r, h.getJSON("http://"+h.fleet.PlainServices[i].Address+"/record", &r)
}

func (h *harness) inventory(i int) (v engine.Inventory, err error) {
	return v, h.getJSON("http://"+h.fleet.Engines[i].Address+"/v1/attempts", &v)
}

// rows returns the number of rows of the table whose keys begin with prefix. It
// queries the table directly, without the proxies.
func (h *harness) rows(prefix string) (int, error) {
	_, text, err := h.post(context.Background(), "http://"+h.fleet.TableAddress+"/scan", "", store.ScanRequest{Prefix: prefix, Limit: 100_000})
	if err != nil {
		return 0, err
	}
	var response store.RowsResponse
	if err := json.Unmarshal(text, &response); err != nil {
		return 0, err
	}
	return len(response.Rows), nil
}

// ready waits until a VM accepts new requests.
func (h *harness) ready(vm int, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	reason := "no response"
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + h.fleet.Entries[vm].CallerAddress + "/readyz")
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

// observedVersion is a configuration version that a VM reported as active.
type observedVersion struct {
	at      time.Time
	version uint64
}

// versionObserver polls all VMs for their active configuration version.
type versionObserver struct {
	mu          sync.Mutex
	instances   [vmCount]int // increased at each restart of the process
	latest      [vmCount]observedVersion
	firstSeen   [vmCount]map[uint64]time.Time // when this version or a later one was first observed
	regressions []string
}

const (
	observationInterval = 50 * time.Millisecond
	observationTimeout  = 400 * time.Millisecond
)

func startVersionObserver(t *testing.T, f *fleet.Fleet) *versionObserver {
	o := &versionObserver{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for vm, e := range f.Entries {
		o.firstSeen[vm] = map[uint64]time.Time{}
		go func() {
			for ctx.Err() == nil {
				o.poll(ctx, vm, e.OperatorAddress)
				time.Sleep(observationInterval)
			}
		}()
	}
	return o
}

func (o *versionObserver) poll(ctx context.Context, vm int, address string) {
	o.mu.Lock()
	instance := o.instances[vm]
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, observationTimeout)
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
		o.record(vm, instance, s.Version)
	}
}

func (o *versionObserver) record(vm, instance int, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if instance != o.instances[vm] {
		return
	}
	now := time.Now()
	before := o.latest[vm].version
	if version < before {
		o.regressions = append(o.regressions, fmt.Sprintf("VM %d went back from version %d to %d", vm, before, version))
	}
	o.latest[vm] = observedVersion{at: now, version: version}
	for v := before + 1; v <= version; v++ {
		o.firstSeen[vm][v] = now
	}
}

// restarted discards what was observed of the previous process of a VM.
func (o *versionObserver) restarted(vm int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.instances[vm]++
	o.latest[vm] = observedVersion{}
	clear(o.firstSeen[vm])
}

func (o *versionObserver) highest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := uint64(0)
	for _, s := range o.latest {
		version = max(version, s.version)
	}
	return version
}

// firstSeenAt returns when a VM first reported this version or a later one as active.
func (o *versionObserver) firstSeenAt(vm int, version uint64) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.firstSeen[vm][version]
	return at, ok
}

func (o *versionObserver) takeRegressions() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	regressions := o.regressions
	o.regressions = nil
	return regressions
}
