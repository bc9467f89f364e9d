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
	requestTimeout     = 10 * time.Second
	backgroundTimeout  = 6 * time.Second
	backgroundInterval = 150 * time.Millisecond
	stepTimeout        = 8 * time.Second // the cell fails if the step is not reached by then
	pollInterval       = 10 * time.Millisecond
	maxResumes         = 20
	resumeBackoff      = 200 * time.Millisecond
)

// streamResult is what the caller of a streamed request received.
type streamResult struct {
	loadgen.Result
	vm          int
	ended       time.Time
	mustSucceed bool // no fault of the cell allows a failure
}

// plainCallResult is what the caller of a plain call received.
type plainCallResult struct {
	id, key     string
	method      string
	vm          int
	sent        time.Time
	ended       time.Time
	timeout     time.Duration
	status      int
	outcome     apierror.Outcome
	text        string
	mustSucceed bool
}

// submittedPatch is what an operator received as the result of a patch.
type submittedPatch struct {
	id          string
	vm          int
	base        uint64
	at          time.Time // when the response arrived
	accepted    bool
	version     uint64
	outcome     apierror.Outcome
	text        string
	mustSucceed bool
}

// cellRun is the execution of one cell.
type cellRun struct {
	t       *testing.T
	harness *harness
	cell    cell
	// vm is the VM that faults of VMs affect, engine the engine that faults of
	// engines affect. A step may set engine to the one that runs its request.
	vm, engine int
	id         string // unique prefix of all IDs of this run
	startTime  time.Time

	injected         bool
	injectedAt       time.Time
	healed           chan struct{}
	unavailableUntil map[int]time.Time // by VM that could not act
	stopped          chan struct{}     // closed to stop the background load
	pending          sync.WaitGroup

	mu       sync.Mutex
	counter  int
	streams  []streamResult
	calls    []plainCallResult
	patches  []submittedPatch
	problems []string
	// noWorkPeriods are the periods in which an engine must get no new work.
	noWorkPeriods []noWorkPeriod
}

type noWorkPeriod struct {
	engine   int
	from, to time.Time
	promise  string
}

func newCellRun(t *testing.T, h *harness, c cell) *cellRun {
	hasher := fnv.New32a()
	io.WriteString(hasher, c.name())
	seed := int(hasher.Sum32() >> 1)
	return &cellRun{
		t: t, harness: h, cell: c,
		vm: seed % vmCount, engine: seed / vmCount % engineCount,
		id:        fmt.Sprintf("%x-%x", hasher.Sum32(), time.Now().UnixNano()&0xffffffff),
		startTime: time.Now(), healed: make(chan struct{}), stopped: make(chan struct{}),
		unavailableUntil: map[int]time.Time{},
	}
}

func (r *cellRun) otherVM() int { return (r.vm + 1) % vmCount }

func (r *cellRun) nextID(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	return fmt.Sprintf("%s-%s-%d", r.id, kind, r.counter)
}

// problem records a broken promise.
func (r *cellRun) problem(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, promise+": "+fmt.Sprintf(format, args...))
}

// requireNoError aborts the cell if the test harness itself fails.
func (r *cellRun) requireNoError(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatalf("harness: %v", err)
	}
}

// await waits for a condition that the step needs, and aborts the cell after
// stepTimeout.
func (r *cellRun) await(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	r.t.Fatalf("step not reached within %s: %s", stepTimeout, what)
}

// stream sends a streamed request and, if the connection breaks, resumes it through
// the other VMs like a caller does.
func (r *cellRun) stream(vm int, q loadgen.Request, mustSucceed bool) streamResult {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	q.Model = "catalogue"
	result := r.harness.client.DoAt(ctx, r.harness.fleet.Entries[vm].CallerAddress, q)
	deadline := result.SentAt.Add(q.Timeout)
	for attempt := 1; interrupted(result) && time.Now().Before(deadline) && attempt <= maxResumes; attempt++ {
		resumed := r.harness.client.Resume(ctx, r.harness.fleet.Entries[(vm+attempt)%vmCount].CallerAddress, result)
		if resumed.Outcome != apierror.NotRun { // "not run" refers only to this attempt to resume
			result = resumed
		}
		if interrupted(result) {
			time.Sleep(resumeBackoff)
		}
	}
	s := streamResult{Result: result, vm: vm, ended: time.Now(), mustSucceed: mustSucceed}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams = append(r.streams, s)
	return s
}

// call sends a call to the plain service and waits for the response.
func (r *cellRun) call(vm int, method, key string, timeout time.Duration, mustSucceed bool) plainCallResult {
	c := plainCallResult{id: r.nextID("call"), key: key, method: method, vm: vm, sent: time.Now(), timeout: timeout, mustSucceed: mustSucceed}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.harness.fleet.Entries[vm].CallerAddress+"/services/lending/loans", strings.NewReader("{}"))
	r.requireNoError(err)
	req.Header.Set("Authorization", "Bearer "+fleet.AccountKey)
	req.Header.Set("X-Request-Id", c.id)
	req.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := r.harness.http.Do(req)
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

func (c *plainCallResult) read(resp *http.Response) {
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

// submit sends a patch against the highest observed version.
func (r *cellRun) submit(vm int, mustSucceed bool, operations ...config.Operation) submittedPatch {
	return r.submitAt(vm, r.harness.versions.highest(), r.nextID("patch"), mustSucceed, operations...)
}

func (r *cellRun) submitAt(vm int, base uint64, id string, mustSucceed bool, operations ...config.Operation) submittedPatch {
	s := submittedPatch{id: id, vm: vm, base: base, mustSucceed: mustSucceed}
	status, text, err := r.harness.post(context.Background(), "http://"+r.harness.fleet.Entries[vm].OperatorAddress+"/config/patches", fleet.OperatorKey,
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

// submitUntilAccepted submits a patch until it is accepted, each time against the
// latest version, like an operator does.
func (r *cellRun) submitUntilAccepted(vm int, operation func() (config.Operation, error)) submittedPatch {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		o, err := operation()
		if err == nil {
			if s := r.submit(vm, false, o); s.accepted {
				return s
			} else if time.Now().After(end) {
				r.t.Fatalf("patch not accepted within 20 s: %+v", s)
			}
		} else if time.Now().After(end) {
			r.requireNoError(err)
		}
	}
}

// setField returns a function that builds the operation to change one field of a
// declared object.
func (r *cellRun) setField(vm int, key, field string, value any) func() (config.Operation, error) {
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

func (r *cellRun) operatorGet(vm int, path string, into any) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.harness.fleet.Entries[vm].OperatorAddress+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	resp, err := r.harness.http.Do(req)
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

// unrelatedOperation returns a patch operation without effect on the work of a cell.
func (r *cellRun) unrelatedOperation() config.Operation {
	value, _ := json.Marshal(config.WaitRule{Account: "stewards", MinPromptTokens: 390_000, Class: config.ClassStandard})
	return config.Operation{Action: config.Put, Key: "wait-rule/m" + r.nextID("r"), Value: value}
}

// interrupted reports whether the connection ended without a complete response or
// an error, so that the caller can resume the response.
func interrupted(res loadgen.Result) bool {
	return !res.Complete && res.Outcome == "" && res.ResumeToken != "" && !res.Incorrect
}

// promptHash returns the hash of the prompt, by which the engines' records identify a
// request.
func promptHash(q loadgen.Request) uint64 {
	return standin.PromptHash([]byte(`"` + loadgen.Prompt(q) + `"`))
}

// startedAt returns the engine whose record shows the start of a request.
func (r *cellRun) startedAt(prompt uint64) (engine int, ok bool) {
	for i := range engineCount {
		record, err := r.harness.engineRecord(i)
		r.requireNoError(err)
		for _, e := range record.Entries {
			if e.Event == "start" && e.Prompt == prompt {
				return i, true
			}
		}
	}
	return 0, false
}

// sendBackgroundLoad sends light load to all VMs until the cell ends: short
// requests, and plain calls unless the step counts plain calls.
func (r *cellRun) sendBackgroundLoad(posts bool) {
	ticker := time.NewTicker(backgroundInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
		}
		vm := n % vmCount
		r.pending.Go(func() {
			r.stream(vm, loadgen.Request{ID: r.nextID("pulse"), PromptTokens: 400, MaxTokens: 12, Timeout: backgroundTimeout, Prefix: sharedPrefix}, false)
		})
		if posts && n%2 == 0 {
			r.pending.Go(func() { r.call(vm, http.MethodPost, r.nextID("key"), backgroundTimeout, false) })
		}
	}
}

// sharedPrefix is the common prefix of the prompts of the background load, so that
// they hit prefix caches about which the VMs miss events.
var sharedPrefix = strings.Repeat("catalogue of the mobile library ", 40)

// injectFaults injects the faults of the cell and heals them after the longest of
// their durations.
func (r *cellRun) injectFaults() {
	r.injected, r.injectedAt = true, time.Now()
	longest := time.Duration(0)
	for _, f := range r.cell.faults {
		f.inject(r)
		longest = max(longest, f.duration)
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
