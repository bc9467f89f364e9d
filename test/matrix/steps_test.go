package matrix

import (
	"fmt"
	"net/http"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/faultproxy"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/standin"
)

// step is a point in an operation at which faults are injected.
type step struct {
	name, family, description string
	run                       func(r *cellRun)
}

// Operations to which the steps belong.
const (
	streamFamily    = "streamed request"
	plainCallFamily = "plain call"
	patchFamily     = "patch"
	commandFamily   = "order"
	stopFamily      = "planned stop"
	leaveFamily     = "leaving"
)

var stepTable = []step{
	{"before_arrival", streamFamily, "the request arrives right after the fault", stepBeforeArrival},
	{"queued", streamFamily, "the request waits because three prompts of 340,000 tokens fill the engines", stepQueued},
	{"sent", streamFamily, "the engine's record shows the start of a prompt of 100,000 tokens; its prefill takes 0.5 s", stepSent},
	{"middle", streamFamily, "40 of 300 events have arrived", stepMiddle},
	{"end", streamFamily, "95 of 100 events have arrived", stepEnd},
	{"before_claim", plainCallFamily, "the call arrives right after the fault", stepBeforeClaim},
	{"claimed", plainCallFamily, "the claim row is in the table and the answer to its write is on the way", stepClaimed},
	{"call_sent", plainCallFamily, "the plain service has received the call and runs it 600 ms later", stepCallSent},
	{"answered", plainCallFamily, "the call was answered; it is repeated through another VM", stepAnswered},
	{"submit", patchFamily, "the patch is submitted right after the fault", stepSubmit},
	{"accepted", patchFamily, "the row of the patch id is in the table and the answer to its write is on the way", stepAccepted},
	{"spread", patchFamily, "the operator was told that the patch is accepted", stepSpread},
	{"order", commandFamily, "a patch declares one more model for an engine and no order has been given yet", stepCommand},
	{"planned_stop", stopFamily, "SIGTERM of another VM while it relays an answer", stepPlannedStop},
	{"zone_out", leaveFamily, "a patch takes the engine's zone out of service; it is taken back 4 s later", stepZoneOut},
	{"target_leaves", leaveFamily, "a patch declares the engine as leaving; it is taken back 4 s later", stepTargetLeaves},
}

// mustSucceed reports whether the step's operation must succeed under the faults
// of the cell.
func (r *cellRun) mustSucceed() bool {
	for _, f := range r.cell.faults {
		if f.allowedFailures[r.cell.step.name] != "" {
			return false
		}
	}
	// The combined effect of a pair may exceed what the rules of its faults cover.
	return len(r.cell.faults) == 1
}

func (r *cellRun) newRequest(kind string, prompt, tokens int) loadgen.Request {
	return loadgen.Request{ID: r.nextID(kind), PromptTokens: prompt, MaxTokens: tokens, Timeout: requestTimeout}
}

// startStream sends a streamed request and returns a channel that is closed when the
// response has ended.
func (r *cellRun) startStream(vm int, q loadgen.Request, mustSucceed bool) <-chan struct{} {
	done := make(chan struct{})
	r.pending.Go(func() {
		defer close(done)
		r.stream(vm, q, mustSucceed)
	})
	return done
}

func stepBeforeArrival(r *cellRun) {
	r.injectFaults()
	<-r.startStream(r.vm, r.newRequest("op", 1000, 60), r.mustSucceed())
}

// The filler prompts leave no engine enough KV cache for another long prompt.
// Prefill and decode of a filler take 2.7 s, in which the step must be reached.
const (
	fillerPrompt = 340_000
	fillerTokens = 200
	queuedPrompt = 200_000
	// dispatchTime is enough for a VM to dispatch a request that does not queue.
	dispatchTime  = 150 * time.Millisecond
	queueAttempts = 4
)

func stepQueued(r *cellRun) {
	for range queueAttempts {
		if done := r.queueRequest(); done != nil {
			r.injectFaults()
			<-done
			return
		}
	}
	r.t.Fatalf("step not reached in %d attempts: a request is queued", queueAttempts)
}

// queueRequest fills the engines and sends a request that must queue. It returns
// nil if the engines were not full or the request was started, which may happen
// while an engine warms up.
func (r *cellRun) queueRequest() <-chan struct{} {
	var fillers []<-chan struct{}
	for i := range engineCount {
		q := r.newRequest("filler", fillerPrompt, fillerTokens)
		fillers = append(fillers, r.startStream((r.vm+i)%vmCount, q, false))
		r.await("a filler runs", func() bool { _, ok := r.startedAt(promptHash(q)); return ok })
	}
	q := r.newRequest("op", queuedPrompt, 4)
	if r.enginesFull() {
		done := r.startStream(r.vm, q, r.mustSucceed())
		time.Sleep(dispatchTime)
		if _, started := r.startedAt(promptHash(q)); !started {
			return done
		}
		<-done
	}
	waitAll(fillers)
	return nil
}

func waitAll(all []<-chan struct{}) {
	for _, done := range all {
		<-done
	}
}

// enginesFull reports whether each engine holds the KV cache of a filler.
func (r *cellRun) enginesFull() bool {
	for i := range engineCount {
		inventory, err := r.harness.inventory(i)
		r.requireNoError(err)
		kvTokens := 0
		for _, a := range inventory.Attempts {
			kvTokens += a.KVTokens
		}
		if kvTokens < fillerPrompt {
			return false
		}
	}
	return true
}

// injectAtStart injects the faults once an engine's record shows the start of q.
func (r *cellRun) injectAtStart(q loadgen.Request) {
	r.await("an engine starts "+q.ID, func() (ok bool) {
		r.engine, ok = r.startedAt(promptHash(q))
		return ok
	})
	r.injectFaults()
}

func stepSent(r *cellRun) {
	q := r.newRequest("op", 100_000, 20)
	done := r.startStream(r.vm, q, r.mustSucceed())
	r.injectAtStart(q)
	<-done
}

func (r *cellRun) injectAfterEvents(tokens int, events int64) {
	q := r.newRequest("op", 1000, tokens)
	done := r.startStream(r.vm, q, r.mustSucceed())
	n := r.harness.eventCounts.counter(q.ID)
	r.await(fmt.Sprintf("%d events have arrived", events), func() bool { return n.Load() >= events })
	r.injectAtStart(q)
	<-done
}

func stepMiddle(r *cellRun) { r.injectAfterEvents(300, 40) }

func stepEnd(r *cellRun) { r.injectAfterEvents(100, 95) }

// runPlainCall sends the step's call and retries it through another VM once the
// faults are healed.
func (r *cellRun) runPlainCall(afterSend func(key string, done <-chan struct{})) {
	key := r.nextID("key")
	done := make(chan struct{})
	var first plainCallResult
	go func() {
		defer close(done)
		first = r.call(r.vm, http.MethodPost, key, requestTimeout, r.mustSucceed())
	}()
	afterSend(key, done)
	<-done
	select {
	case <-r.healed:
		r.retry(r.otherVM(), first)
	case <-r.stopped: // the cell failed before the faults were injected
	}
}

func stepBeforeClaim(r *cellRun) {
	r.injectFaults()
	r.runPlainCall(func(string, <-chan struct{}) {})
}

// writeDelay is added to each chunk between a VM and the table while a step waits
// for a row whose write has not been confirmed to the VM yet.
const writeDelay = 250 * time.Millisecond

// injectWhenRowWritten injects the faults after a write took effect and before the
// VM receives the response.
func (r *cellRun) injectWhenRowWritten(prefix string, startWrite func()) {
	proxy := r.harness.fleet.Entries[r.vm].StoreProxy
	before, err := r.harness.rows(prefix)
	r.requireNoError(err)
	proxy.SetMode(faultproxy.Forward, writeDelay)
	startWrite()
	r.await("a row "+prefix, func() bool {
		n, err := r.harness.rows(prefix)
		return err == nil && n > before
	})
	proxy.SetMode(faultproxy.Forward, 0)
	r.injectFaults()
}

func stepClaimed(r *cellRun) {
	r.injectWhenRowWritten("claim/", func() {
		r.pending.Go(func() { r.runPlainCall(func(string, <-chan struct{}) {}) })
	})
	<-r.healed
}

func stepCallSent(r *cellRun) {
	before := r.plainCallsReceived()
	r.plainFaults(standin.PlainFaults{DelayMS: 600})
	r.runPlainCall(func(string, <-chan struct{}) {
		r.await("the plain service has received the call", func() bool { return r.plainCallsReceived() > before })
		r.injectFaults()
		r.plainFaults(standin.PlainFaults{})
	})
}

func (r *cellRun) plainFaults(f standin.PlainFaults) {
	for _, p := range r.harness.fleet.PlainServices {
		r.requireNoError(r.harness.control(p.Address, f))
	}
}

// plainCallsReceived returns the number of non-idempotent calls that the plain services
// received.
func (r *cellRun) plainCallsReceived() int {
	n := 0
	for i := range plainCount {
		record, err := r.harness.plainRecord(i)
		r.requireNoError(err)
		for _, s := range record.Seconds {
			n += s.Writes
		}
	}
	return n
}

func stepAnswered(r *cellRun) {
	first := r.call(r.vm, http.MethodPost, r.nextID("key"), requestTimeout, true)
	r.injectFaults()
	r.retry(r.otherVM(), first)
	<-r.healed
	r.retry(r.vm, first)
}

func stepSubmit(r *cellRun) {
	r.injectFaults()
	r.submit(r.vm, r.mustSucceed(), r.unrelatedOperation())
}

func stepAccepted(r *cellRun) {
	r.injectWhenRowWritten("config/patchid/", func() {
		r.pending.Go(func() { r.submit(r.vm, r.mustSucceed(), r.unrelatedOperation()) })
	})
}

func stepSpread(r *cellRun) {
	r.submitUntilAccepted(r.vm, func() (config.Operation, error) { return r.unrelatedOperation(), nil })
	r.injectFaults()
}

func stepCommand(r *cellRun) {
	target := "target/" + r.harness.fleet.Engines[r.engine].Name
	r.submitUntilAccepted(r.otherVM(), r.setField(r.otherVM(), target, "models", []string{"catalogue", "registers"}))
	r.injectFaults()
	r.awaitCommand("load-model registers")
	<-r.healed
	r.submitUntilAccepted(r.otherVM(), r.setField(r.otherVM(), target, "models", []string{"catalogue"}))
	r.awaitCommand("unload-model registers")
}

// commandTimeout covers the 10 s for which the order lease of a failed VM is valid,
// the 10 s until its seat can be taken over, the 2 s between two reconciliations,
// and the duration of the faults.
const commandTimeout = 40 * time.Second

// awaitCommand waits until the engine's record shows a command from this cell.
func (r *cellRun) awaitCommand(reason string) {
	for end := time.Now().Add(commandTimeout); time.Now().Before(end); time.Sleep(pollInterval * 5) {
		record, err := r.harness.engineRecord(r.engine)
		r.requireNoError(err)
		for _, e := range record.Entries {
			if e.Event == "order" && e.Reason == reason && e.At.After(r.startTime) {
				return
			}
		}
	}
	r.problem("R10", "engine %d received no command %q within %s", r.engine, reason, commandTimeout)
}

// shutdownTimeout bounds a graceful shutdown: the longest request of the cell, the
// drain delay, and a margin for giving up the seat.
const shutdownTimeout = requestTimeout + 10*time.Second

func stepPlannedStop(r *cellRun) {
	vm := r.otherVM()
	q := r.newRequest("op", 1000, 300)
	done := r.startStream(vm, q, r.mustSucceed())
	n := r.harness.eventCounts.counter(q.ID)
	r.await("the response has started", func() bool { return n.Load() >= 20 })
	r.engine, _ = r.startedAt(promptHash(q))
	exited := r.harness.fleet.Entries[vm].Stop()
	r.injectFaults()
	<-done
	select {
	case err := <-exited:
		if err != nil {
			r.problem("R9", "the graceful shutdown failed: %v", err)
		}
	case <-time.After(shutdownTimeout):
		r.problem("R9", "the graceful shutdown took more than %s", shutdownTimeout)
		r.harness.fleet.Entries[vm].Kill()
	}
	r.restart(vm)
}

// outOfServiceTime is longer than the 3 s after which the engine must get no new
// work.
const outOfServiceTime = 4 * time.Second

func stepZoneOut(r *cellRun) {
	r.takeOutOfService("zone/"+r.harness.fleet.Engines[r.engine].Zone, "out_of_service", "R4")
}

func stepTargetLeaves(r *cellRun) {
	r.takeOutOfService("target/"+r.harness.fleet.Engines[r.engine].Name, "leaving", "R8")
}

func (r *cellRun) takeOutOfService(key, field, promise string) {
	out := r.submitUntilAccepted(r.otherVM(), r.setField(r.otherVM(), key, field, true))
	r.injectFaults()
	time.Sleep(outOfServiceTime)
	<-r.healed
	back := time.Now()
	r.submitUntilAccepted(r.otherVM(), r.setField(r.otherVM(), key, field, false))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noWorkPeriods = append(r.noWorkPeriods, noWorkPeriod{engine: r.engine, from: out.at.Add(maxActivationDelay), to: back, promise: promise})
}
