package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/confsync"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/operator"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/test/fleet"
)

const (
	requestTimeout = 10 * time.Second
	pulseTimeout   = 6 * time.Second
	pulseInterval  = 150 * time.Millisecond
	stepWithin     = 8 * time.Second // a step that is not reached by then fails the cell
	pollInterval   = 10 * time.Millisecond
	maxResumes     = 20
	resumePause    = 200 * time.Millisecond
)

// streamed is what the caller of a streamed request was told.
type streamed struct {
	loadgen.Result
	vm       int
	ended    time.Time
	mustDone bool // the fault does not excuse a failure
}

// plainCall is what the caller of a plain call was told.
type plainCall struct {
	id, key  string
	method   string
	vm       int
	sent     time.Time
	ended    time.Time
	timeout  time.Duration
	status   int
	outcome  apierror.Outcome
	text     string
	mustDone bool
}

// submitted is what an operator was told about a patch.
type submitted struct {
	id       string
	vm       int
	base     uint64
	at       time.Time // when the answer arrived
	accepted bool
	version  uint64
	outcome  apierror.Outcome
	text     string
	mustDone bool
}

// run is one cell in execution.
type run struct {
	t    *testing.T
	w    *world
	cell cell
	// vm is the VM that the faults of VMs hit, engine the engine that the
	// faults of engines hit. A step sets engine once its record shows it.
	vm, engine int
	id         string // unique, begins all ids of this run
	began      time.Time

	struck   bool
	struckAt time.Time
	healed   chan struct{}
	thawed   map[int]time.Time // VMs that could not act, until when
	stopped  chan struct{}     // ends the pulses
	pending  sync.WaitGroup

	mu       sync.Mutex
	counter  int
	streams  []streamed
	calls    []plainCall
	patches  []submitted
	problems []string
	// quiet are the times in which an engine was to get no new work.
	quiet []quietTime
}

type quietTime struct {
	engine   int
	from, to time.Time
	promise  string
}

func newRun(t *testing.T, w *world, c cell) *run {
	h := fnv.New32a()
	io.WriteString(h, c.name())
	seed := int(h.Sum32() >> 1)
	return &run{
		t: t, w: w, cell: c,
		vm: seed % vmCount, engine: seed / vmCount % engineCount,
		id:    fmt.Sprintf("%x-%x", h.Sum32(), time.Now().UnixNano()&0xffffffff),
		began: time.Now(), healed: make(chan struct{}), stopped: make(chan struct{}),
		thawed: map[int]time.Time{},
	}
}

func (r *run) other() int { return (r.vm + 1) % vmCount }

func (r *run) nextID(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	return fmt.Sprintf("%s-%s-%d", r.id, kind, r.counter)
}

// problem records a promise that does not hold.
func (r *run) problem(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, promise+": "+fmt.Sprintf(format, args...))
}

// must ends the cell when the harness itself does not work.
func (r *run) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatalf("harness: %v", err)
	}
}

// await waits until a step is reached.
func (r *run) await(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(stepWithin); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	r.t.Fatalf("step not reached within %s: %s", stepWithin, what)
}

// stream sends a streamed request and, when the connection breaks, resumes it
// at the other VMs as a caller does.
func (r *run) stream(vm int, q loadgen.Request, mustDone bool) streamed {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	q.Model = "catalogue"
	result := r.w.client.DoAt(ctx, r.w.f.Entries[vm].CallerAddress, q)
	deadline := result.Sent.Add(q.Timeout)
	for try := 1; isBroken(result) && time.Now().Before(deadline) && try <= maxResumes; try++ {
		again := r.w.client.Resume(ctx, r.w.f.Entries[(vm+try)%vmCount].CallerAddress, result)
		if again.Outcome != apierror.NotRun { // "not run" speaks of this resumption only
			result = again
		}
		if isBroken(result) {
			time.Sleep(resumePause)
		}
	}
	s := streamed{Result: result, vm: vm, ended: time.Now(), mustDone: mustDone}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams = append(r.streams, s)
	return s
}

// call sends a call to the plain service.
func (r *run) call(vm int, method, key string, timeout time.Duration, mustDone bool) plainCall {
	c := plainCall{id: r.nextID("call"), key: key, method: method, vm: vm, sent: time.Now(), timeout: timeout, mustDone: mustDone}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.w.f.Entries[vm].CallerAddress+"/services/lending/loans", strings.NewReader("{}"))
	r.must(err)
	req.Header.Set("Authorization", "Bearer "+fleet.AccountKey)
	req.Header.Set("X-Request-Id", c.id)
	req.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := r.w.http.Do(req)
	if err != nil {
		c.text = err.Error()
	} else {
		c.read(resp)
	}
	c.ended = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
	return c
}

func (c *plainCall) read(resp *http.Response) {
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	c.status, c.text = resp.StatusCode, string(text)
	if err != nil {
		c.status, c.text = 0, err.Error()
	}
	if c.status != http.StatusOK {
		c.outcome = apierror.Outcome(resp.Header.Get("X-Outcome"))
	}
}

// submit sends a patch against the highest version seen.
func (r *run) submit(vm int, mustDone bool, operations ...config.Operation) submitted {
	return r.submitAt(vm, r.w.watch.highest(), r.nextID("patch"), mustDone, operations...)
}

func (r *run) submitAt(vm int, base uint64, id string, mustDone bool, operations ...config.Operation) submitted {
	s := submitted{id: id, vm: vm, base: base, mustDone: mustDone}
	status, text, err := r.w.post(context.Background(), "http://"+r.w.f.Entries[vm].OperatorAddress+"/config/patches", fleet.OperatorKey,
		config.Patch{ID: id, BaseVersion: base, Operations: operations})
	s.at, s.text = time.Now(), string(text)
	var verdict confsync.Verdict
	var refused operator.RefusedBody
	switch {
	case err != nil:
		s.text = err.Error()
	case status == http.StatusOK && json.Unmarshal(text, &verdict) == nil && verdict.Result == confsync.Accepted:
		s.accepted, s.version = true, verdict.Version
	case json.Unmarshal(text, &refused) == nil:
		s.outcome = refused.Error.Outcome
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.patches = append(r.patches, s)
	return s
}

// change submits a patch until it is accepted, and rebases it as an operator
// does.
func (r *run) change(vm int, operation func() (config.Operation, error)) submitted {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		o, err := operation()
		if err == nil {
			if s := r.submit(vm, false, o); s.accepted {
				return s
			} else if time.Now().After(end) {
				r.t.Fatalf("patch not accepted within 20 s: %+v", s)
			}
		} else if time.Now().After(end) {
			r.must(err)
		}
	}
}

// setField is the operation that changes one field of a declared object.
func (r *run) setField(vm int, key, field string, value any) func() (config.Operation, error) {
	return func() (config.Operation, error) {
		var document config.Document
		if err := r.operatorGet(vm, "/config", &document); err != nil {
			return config.Operation{}, err
		}
		fields := map[string]any{}
		if err := json.Unmarshal(document.Objects[key], &fields); err != nil {
			return config.Operation{}, err
		}
		fields[field] = value
		data, err := json.Marshal(fields)
		return config.Operation{Action: config.Put, Key: key, Value: data}, err
	}
}

func (r *run) operatorGet(vm int, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.w.f.Entries[vm].OperatorAddress+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	resp, err := r.w.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("GET %s: %d %s", path, resp.StatusCode, text)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// harmless is a patch operation without effect on the work of a cell.
func (r *run) harmless() config.Operation {
	value, _ := json.Marshal(config.WaitRule{Account: "stewards", MinPromptTokens: 390_000, Class: config.ClassStandard})
	return config.Operation{Action: config.Put, Key: "wait-rule/m" + r.nextID("r"), Value: value}
}

// isBroken says whether the connection ended without an answer or an error, and
// the caller can resume the answer.
func isBroken(res loadgen.Result) bool {
	return !res.Complete && res.Outcome == "" && res.ResumeToken != "" && !res.Incorrect
}

// hash is how the engines' records name a request: the hash of its prompt.
func hash(q loadgen.Request) uint64 {
	return standin.PromptHash([]byte(`"` + loadgen.Prompt(q) + `"`))
}

// startedAt returns the engine whose record shows the start of a request.
func (r *run) startedAt(prompt uint64) (engine int, ok bool) {
	for i := range engineCount {
		record, err := r.w.engineRecord(i)
		r.must(err)
		for _, e := range record.Entries {
			if e.Event == "start" && e.Prompt == prompt {
				return i, true
			}
		}
	}
	return 0, false
}

// pulse sends light work to all VMs until the cell ends: short requests, and
// plain calls unless the step counts plain calls.
func (r *run) pulse(posts bool) {
	ticker := time.NewTicker(pulseInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
		}
		vm := n % vmCount
		r.pending.Go(func() {
			r.stream(vm, loadgen.Request{ID: r.nextID("pulse"), PromptTokens: 400, MaxTokens: 12, Timeout: pulseTimeout, Prefix: sharedPrefix}, false)
		})
		if posts && n%2 == 0 {
			r.pending.Go(func() { r.call(vm, http.MethodPost, r.nextID("key"), pulseTimeout, false) })
		}
	}
}

// sharedPrefix begins the prompts of the pulses, so that they are found in
// prefix caches of which the VMs learn with gaps.
var sharedPrefix = strings.Repeat("catalogue of the mobile library ", 40)

// strike injects the faults of the cell and heals them after their time.
func (r *run) strike() {
	r.struck, r.struckAt = true, time.Now()
	longest := time.Duration(0)
	for _, f := range r.cell.faults {
		f.inject(r)
		longest = max(longest, f.hold)
	}
	r.pending.Go(func() {
		time.Sleep(longest)
		for _, f := range r.cell.faults {
			if f.heal != nil {
				f.heal(r)
			}
		}
		close(r.healed)
	})
}
