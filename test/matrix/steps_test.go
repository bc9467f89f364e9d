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

// step is a point in an operation at which a fault strikes.
type step struct {
	name, family, text string
	run                func(r *run)
}

// Families of steps.
const (
	streamFamily = "streamed request"
	plainFamily  = "plain call"
	patchFamily  = "patch"
	orderFamily  = "order"
	stopFamily   = "planned stop"
	leaveFamily  = "leaving"
)

var stepTable = []step{
	{"before_arrival", streamFamily, "the request arrives right after the fault", stepBeforeArrival},
	{"queued", streamFamily, "the request waits because three prompts of 340,000 tokens fill the engines", stepQueued},
	{"sent", streamFamily, "the engine's record shows the start of a prompt of 100,000 tokens; its prefill takes 0.5 s", stepSent},
	{"middle", streamFamily, "40 of 300 events have arrived", stepMiddle},
	{"end", streamFamily, "95 of 100 events have arrived", stepEnd},
	{"before_claim", plainFamily, "the call arrives right after the fault", stepBeforeClaim},
	{"claimed", plainFamily, "the claim row is in the table and the answer to its write is on the way", stepClaimed},
	{"call_sent", plainFamily, "the plain service has received the call and runs it 600 ms later", stepCallSent},
	{"answered", plainFamily, "the call was answered; it is repeated through another VM", stepAnswered},
	{"submit", patchFamily, "the patch is submitted right after the fault", stepSubmit},
	{"accepted", patchFamily, "the row of the patch id is in the table and the answer to its write is on the way", stepAccepted},
	{"spread", patchFamily, "the operator was told that the patch is accepted", stepSpread},
	{"order", orderFamily, "a patch declares one more model for an engine and no order has been given yet", stepOrder},
	{"planned_stop", stopFamily, "SIGTERM of another VM while it relays an answer", stepPlannedStop},
	{"zone_out", leaveFamily, "a patch takes the engine's zone out of service; it is taken back 4 s later", stepZoneOut},
	{"target_leaves", leaveFamily, "a patch declares the engine as leaving; it is taken back 4 s later", stepTargetLeaves},
}

// mustDo says whether no fault of the cell excuses a failure of the step's
// operation.
func (r *run) mustDo() bool {
	for _, f := range r.cell.faults {
		if f.excuses[r.cell.step.name] != "" {
			return false
		}
	}
	// A pair may add up to more than one fault's rule covers.
	return len(r.cell.faults) == 1
}

func (r *run) request(kind string, prompt, tokens int) loadgen.Request {
	return loadgen.Request{ID: r.nextID(kind), PromptTokens: prompt, MaxTokens: tokens, Timeout: requestTimeout}
}

// begin sends a streamed request and returns a channel that closes at its end.
func (r *run) begin(vm int, q loadgen.Request, mustDone bool) <-chan struct{} {
	done := make(chan struct{})
	r.pending.Go(func() {
		defer close(done)
		r.stream(vm, q, mustDone)
	})
	return done
}

func stepBeforeArrival(r *run) {
	r.strike()
	<-r.begin(r.vm, r.request("op", 1000, 60), r.mustDo())
}

// Prompts that leave no engine room for a further long one. Prefill and output
// take 2.7 s, in which the step has to be reached.
const (
	fillerPrompt = 340_000
	fillerTokens = 200
	queuedPrompt = 200_000
	// decisionTime is enough for a VM to send a request that need not wait.
	decisionTime = 150 * time.Millisecond
	queueTries   = 4
)

func stepQueued(r *run) {
	for range queueTries {
		if done := r.queueOne(); done != nil {
			r.strike()
			<-done
			return
		}
	}
	r.t.Fatalf("step not reached in %d tries: a request is queued", queueTries)
}

// queueOne fills the engines and sends a request that has to wait. It returns
// nil if an engine had room, which may be while an engine warms up.
func (r *run) queueOne() <-chan struct{} {
	var fillers []<-chan struct{}
	for i := range engineCount {
		q := r.request("filler", fillerPrompt, fillerTokens)
		fillers = append(fillers, r.begin((r.vm+i)%vmCount, q, false))
		r.await("a filler runs", func() bool { _, ok := r.startedAt(hash(q)); return ok })
	}
	q := r.request("op", queuedPrompt, 4)
	if r.filled() {
		done := r.begin(r.vm, q, r.mustDo())
		time.Sleep(decisionTime)
		if _, started := r.startedAt(hash(q)); !started {
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

// filled says whether each engine holds a filler.
func (r *run) filled() bool {
	for i := range engineCount {
		inventory, err := r.w.inventory(i)
		r.must(err)
		held := 0
		for _, a := range inventory.Attempts {
			held += a.KVTokens
		}
		if held < fillerPrompt {
			return false
		}
	}
	return true
}

// strikeAtStart strikes once an engine's record shows the start of q.
func (r *run) strikeAtStart(q loadgen.Request) {
	r.await("an engine starts "+q.ID, func() (ok bool) {
		r.engine, ok = r.startedAt(hash(q))
		return ok
	})
	r.strike()
}

func stepSent(r *run) {
	q := r.request("op", 100_000, 20)
	done := r.begin(r.vm, q, r.mustDo())
	r.strikeAtStart(q)
	<-done
}

func (r *run) strikeAfterEvents(tokens int, events int64) {
	q := r.request("op", 1000, tokens)
	done := r.begin(r.vm, q, r.mustDo())
	n := r.w.counts.counter(q.ID)
	r.await(fmt.Sprintf("%d events have arrived", events), func() bool { return n.Load() >= events })
	r.strikeAtStart(q)
	<-done
}

func stepMiddle(r *run) { r.strikeAfterEvents(300, 40) }

func stepEnd(r *run) { r.strikeAfterEvents(100, 95) }

// plainOp sends the step's call and repeats it through another VM once the
// fault is over.
func (r *run) plainOp(strike func(key string, done <-chan struct{})) {
	key := r.nextID("key")
	done := make(chan struct{})
	var first plainCall
	go func() {
		defer close(done)
		first = r.call(r.vm, http.MethodPost, key, requestTimeout, r.mustDo())
	}()
	strike(key, done)
	<-done
	select {
	case <-r.healed:
		r.repeat(r.other(), first)
	case <-r.stopped: // the cell failed before the fault struck
	}
}

func stepBeforeClaim(r *run) {
	r.strike()
	r.plainOp(func(string, <-chan struct{}) {})
}

// slowWrite is how long a chunk takes between a VM and the table while a step
// waits for a row whose write the VM has not seen answered.
const slowWrite = 250 * time.Millisecond

// strikeWhenRow strikes between the effect of a write and its answer.
func (r *run) strikeWhenRow(prefix string, operate func()) {
	proxy := r.w.f.Entries[r.vm].StoreProxy
	before, err := r.w.rows(prefix)
	r.must(err)
	proxy.SetMode(faultproxy.Forward, slowWrite)
	operate()
	r.await("a row "+prefix, func() bool {
		n, err := r.w.rows(prefix)
		return err == nil && n > before
	})
	proxy.SetMode(faultproxy.Forward, 0)
	r.strike()
}

func stepClaimed(r *run) {
	r.strikeWhenRow("claim/", func() {
		r.pending.Go(func() { r.plainOp(func(string, <-chan struct{}) {}) })
	})
	<-r.healed
}

func stepCallSent(r *run) {
	before := r.plainArrivals()
	r.plainFaults(standin.PlainFaults{DelayMS: 600})
	r.plainOp(func(string, <-chan struct{}) {
		r.await("the plain service receives the call", func() bool { return r.plainArrivals() > before })
		r.strike()
		r.plainFaults(standin.PlainFaults{})
	})
}

func (r *run) plainFaults(f standin.PlainFaults) {
	for _, p := range r.w.f.PlainServices {
		r.must(r.w.control(p.Address, f))
	}
}

// plainArrivals counts the non-idempotent calls that plain services received.
func (r *run) plainArrivals() int {
	n := 0
	for i := range plainCount {
		record, err := r.w.plainRecord(i)
		r.must(err)
		for _, s := range record.Seconds {
			n += s.Writes
		}
	}
	return n
}

func stepAnswered(r *run) {
	first := r.call(r.vm, http.MethodPost, r.nextID("key"), requestTimeout, true)
	r.strike()
	r.repeat(r.other(), first)
	<-r.healed
	r.repeat(r.vm, first)
}

func stepSubmit(r *run) {
	r.strike()
	r.submit(r.vm, r.mustDo(), r.harmless())
}

func stepAccepted(r *run) {
	r.strikeWhenRow("config/patchid/", func() {
		r.pending.Go(func() { r.submit(r.vm, r.mustDo(), r.harmless()) })
	})
}

func stepSpread(r *run) {
	r.change(r.vm, func() (config.Operation, error) { return r.harmless(), nil })
	r.strike()
}

func stepOrder(r *run) {
	target := "target/" + r.w.f.Engines[r.engine].Name
	r.change(r.other(), r.setField(r.other(), target, "models", []string{"catalogue", "registers"}))
	r.strike()
	r.awaitOrder("load-model registers")
	<-r.healed
	r.change(r.other(), r.setField(r.other(), target, "models", []string{"catalogue"}))
	r.awaitOrder("unload-model registers")
}

// orderWithin covers the 10 s of a lost holder's order lease, 10 s of a seat
// without holder and the 2 s between two comparisons, with the faults' time.
const orderWithin = 40 * time.Second

// awaitOrder waits until the engine's record shows an order of this cell.
func (r *run) awaitOrder(reason string) {
	for end := time.Now().Add(orderWithin); time.Now().Before(end); time.Sleep(pollInterval * 5) {
		record, err := r.w.engineRecord(r.engine)
		r.must(err)
		for _, e := range record.Entries {
			if e.Event == "order" && e.Reason == reason && e.At.After(r.began) {
				return
			}
		}
	}
	r.problem("R10", "engine %d got no order %q within %s", r.engine, reason, orderWithin)
}

// stopWithin bounds a graceful shutdown: the longest request of the cell and
// the drain delay, with room for the resignation.
const stopWithin = requestTimeout + 10*time.Second

func stepPlannedStop(r *run) {
	vm := r.other()
	q := r.request("op", 1000, 300)
	done := r.begin(vm, q, r.mustDo())
	n := r.w.counts.counter(q.ID)
	r.await("the answer has begun", func() bool { return n.Load() >= 20 })
	r.engine, _ = r.startedAt(hash(q))
	exited := r.w.f.Entries[vm].Stop()
	r.strike()
	<-done
	select {
	case err := <-exited:
		if err != nil {
			r.problem("R9", "the graceful shutdown failed: %v", err)
		}
	case <-time.After(stopWithin):
		r.problem("R9", "the graceful shutdown took more than %s", stopWithin)
		r.w.f.Entries[vm].Kill()
	}
	r.restart(vm)
}

// outFor is longer than the 3 s after which no new work may arrive.
const outFor = 4 * time.Second

func stepZoneOut(r *run) {
	r.takeOut("zone/"+r.w.f.Engines[r.engine].Zone, "out_of_service", "R4")
}

func stepTargetLeaves(r *run) {
	r.takeOut("target/"+r.w.f.Engines[r.engine].Name, "leaving", "R8")
}

func (r *run) takeOut(key, field, promise string) {
	out := r.change(r.other(), r.setField(r.other(), key, field, true))
	r.strike()
	time.Sleep(outFor)
	<-r.healed
	back := time.Now()
	r.change(r.other(), r.setField(r.other(), key, field, false))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quiet = append(r.quiet, quietTime{engine: r.engine, from: out.at.Add(inForceWithin), to: back, promise: promise})
}
