package matrix

import (
	"net/http"
	"time"

	"github.com/oriolefront/oriolefront/internal/faultproxy"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/standin"
)

// fault is one kind of failure.
type fault struct {
	name   string
	text   string
	hold   time.Duration // between inject and heal
	inject func(r *run)
	heal   func(r *run)
	// engine says that the fault is one of an engine.
	engine bool
	// vmStops says that a VM cannot act while the fault lasts.
	vmStops bool
	// excuses names the steps whose operation may fail, with the reason. The
	// failure still has to be in time and honest.
	excuses map[string]string
}

const (
	freezeTime = 4 * time.Second // longer than the 3 s of the isolation verdict
	// lapseTime is longer than the 7 s of a seat's lease and the 10 s after
	// which a seat may be taken over.
	lapseTime = 11500 * time.Millisecond
	cutTime   = 2500 * time.Millisecond
	// outageTime is longer than the 3 s after which the verdict changes.
	outageTime   = 4 * time.Second
	slowLink     = 200 * time.Millisecond
	slowStoreMS  = 700 // below the 1 s timeout of one call to the store
	engineFreeze = 2500 * time.Millisecond
	holdAnswers  = 1500 * time.Millisecond
	burst        = 12
)

var (
	goneVM   = "the caller's VM is gone before the caller holds a resume token"
	isolated = "the VM is isolated when it wakes up and may refuse"
	noClaim  = "without the store a claim cannot be written, so the call is refused as not run"
	noAnswer = "the VM that waits for the answer is gone or frozen, or cannot write the result: outcome unknown"
	noPatch  = "a patch needs the store and a quorum"
	lostRace = "one of the racing patches wins; the others are refused"
)

var faults = []*fault{
	{
		name: "process_kill", text: "SIGKILL of a VM's process; it is started again 1 s later", hold: time.Second, vmStops: true,
		inject: func(r *run) { r.w.f.Entries[r.vm].Kill() },
		heal:   func(r *run) { r.restart(r.vm) },
		excuses: map[string]string{
			"before_arrival": goneVM, "queued": goneVM, "sent": goneVM,
			"before_claim": noAnswer, "claimed": noAnswer, "call_sent": noAnswer, "answered": noAnswer,
			"submit": noPatch, "accepted": "the answer to the operator is lost",
		},
	},
	{
		name: "process_freeze", text: "SIGSTOP of a VM's process for 4 s, late wake", hold: freezeTime, vmStops: true,
		inject: freezeVM, heal: thawVM,
		excuses: map[string]string{
			"before_arrival": isolated, "queued": isolated, "before_claim": isolated, "claimed": isolated,
			"call_sent": noAnswer, "submit": noPatch, "accepted": noPatch,
		},
	},
	{
		name: "lease_lapse", text: "SIGSTOP of a VM's process for 11.5 s: its seat lease lapses and request deadlines pass", hold: lapseTime, vmStops: true,
		inject: freezeVM, heal: thawVM,
		excuses: everyStep("the deadline passes while the VM is frozen"),
	},
	{
		name: "link_cut", text: "connections of other VMs to one VM are refused for 2.5 s", hold: cutTime,
		inject: func(r *run) { r.w.f.Entries[r.vm].PeerProxy.SetMode(faultproxy.Disconnect, 0) },
		heal:   func(r *run) { r.w.f.Entries[r.vm].PeerProxy.SetMode(faultproxy.Forward, 0) },
	},
	{
		name: "link_slow", text: "200 ms are added to each message to one VM and its answer for 2.5 s", hold: cutTime,
		inject: func(r *run) { r.w.f.Entries[r.vm].PeerProxy.SetMode(faultproxy.Forward, slowLink) },
		heal:   func(r *run) { r.w.f.Entries[r.vm].PeerProxy.SetMode(faultproxy.Forward, 0) },
	},
	{
		name: "store_cut", text: "one VM is cut off from the table service for 4 s", hold: outageTime,
		inject: func(r *run) { r.w.f.Entries[r.vm].StoreProxy.SetMode(faultproxy.Disconnect, 0) },
		heal:   func(r *run) { r.w.f.Entries[r.vm].StoreProxy.SetMode(faultproxy.Forward, 0) },
		excuses: map[string]string{
			"before_claim": noClaim, "claimed": noClaim, "call_sent": noAnswer, "submit": noPatch, "accepted": noPatch,
		},
	},
	{
		name: "store_down", text: "the table service and the object store answer 503 for 4 s", hold: outageTime,
		inject: func(r *run) { r.storeFaults(standin.PlatformFaults{Down: true}) },
		heal:   func(r *run) { r.storeFaults(standin.PlatformFaults{}) },
		excuses: map[string]string{
			"before_claim": noClaim, "claimed": noClaim, "call_sent": noAnswer, "submit": noPatch, "accepted": noPatch,
		},
	},
	{
		name: "store_slow", text: "each call to the table service and the object store takes 700 ms longer for 4 s", hold: outageTime,
		inject: func(r *run) { r.storeFaults(standin.PlatformFaults{DelayMS: slowStoreMS}) },
		heal:   func(r *run) { r.storeFaults(standin.PlatformFaults{}) },
	},
	{
		name: "answer_lost", text: "each write to the store takes effect and its answer is lost, for 2.5 s", hold: cutTime,
		inject: func(r *run) { r.storeFaults(standin.PlatformFaults{LoseResponseEvery: 1}) },
		heal:   func(r *run) { r.storeFaults(standin.PlatformFaults{}) },
	},
	{
		name: "engine_death", text: "an engine loses all work, is down for 0.5 s and then cold for 2 s", hold: time.Second, engine: true,
		inject: func(r *run) { r.must(r.w.control(r.engineAddress(), map[string]any{"crash": true})) },
	},
	{
		name: "engine_freeze", text: "an engine stops all work for 2.5 s with its connections open", hold: engineFreeze, engine: true,
		inject: func(r *run) {
			r.must(r.w.control(r.engineAddress(), map[string]any{"freeze_ms": engineFreeze.Milliseconds()}))
		},
	},
	{
		name: "engine_cold", text: "a warm engine turns cold for 2 s with the same start number; 12 requests follow 1.2 s later", hold: 2500 * time.Millisecond, engine: true,
		inject: func(r *run) {
			r.must(r.w.control(r.engineAddress(), map[string]any{"cold": true}))
			// A VM may use the warm share for 1 s after its last evidence.
			r.later(1200*time.Millisecond, func() { r.burst() })
		},
	},
	{
		name: "late_answers", text: "what an engine sends is held back for 1.5 s while several requests are in progress, then arrives at once", hold: holdAnswers, engine: true,
		inject: func(r *run) {
			r.w.f.Engines[r.engine].Proxy.SetMode(faultproxy.Stall, 0)
			r.burst()
		},
		heal: func(r *run) { r.w.f.Engines[r.engine].Proxy.SetMode(faultproxy.Forward, 0) },
	},
	{
		name: "cache_gaps", text: "12 requests with a common prefix while each second cache event is lost", hold: 500 * time.Millisecond, engine: true,
		inject: func(r *run) { r.burst() },
	},
	{
		name: "racing_operators", text: "6 operators submit patches against the same version through all VMs", hold: time.Second,
		inject: func(r *run) {
			base := r.w.watch.highest()
			for i := range 6 {
				r.pending.Go(func() { r.submitAt(i%vmCount, base, r.nextID("race"), false, r.harmless()) })
			}
		},
		excuses: map[string]string{"submit": lostRace, "accepted": lostRace},
	},
}

// everyStep excuses the operations that go through the VM of the fault.
func everyStep(reason string) map[string]string {
	m := map[string]string{}
	for _, s := range []string{
		"before_arrival", "queued", "sent", "middle", "end", "before_claim", "claimed", "call_sent", "answered", "submit", "accepted",
	} {
		m[s] = reason
	}
	return m
}

func (r *run) engineAddress() string { return r.w.f.Engines[r.engine].Address }

func (r *run) storeFaults(f standin.PlatformFaults) {
	for _, address := range []string{r.w.f.TableAddress, r.w.f.ObjectStoreAddress} {
		if err := r.w.control(address, f); err != nil {
			r.problem("harness", "%v", err)
		}
	}
}

func freezeVM(r *run) { r.w.f.Entries[r.vm].Freeze() }

func thawVM(r *run) {
	r.w.f.Entries[r.vm].Thaw()
	r.noteThaw(r.vm)
}

// noteThaw records from when on a VM can act again.
func (r *run) noteThaw(vm int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.thawed[vm] = time.Now()
}

// restart starts the process of a VM again and waits until it is ready.
func (r *run) restart(vm int) {
	r.w.watch.restarted(vm)
	r.w.f.Entries[vm].Start()
	if err := r.w.ready(vm, readyWithin); err != nil {
		r.problem("R1", "after a restart: %v", err)
	}
	r.noteThaw(vm)
}

func (r *run) later(d time.Duration, f func()) {
	r.pending.Go(func() {
		time.Sleep(d)
		f()
	})
}

// burst sends requests with a common prefix through all VMs at once.
func (r *run) burst() {
	for i := range burst {
		r.pending.Go(func() {
			r.stream(i%vmCount, loadgen.Request{
				ID: r.nextID("burst"), PromptTokens: 600, MaxTokens: 40, Timeout: requestTimeout, Prefix: sharedPrefix,
			}, false)
		})
	}
}

// repeat sends a plain call again with its key.
func (r *run) repeat(vm int, first plainCall) {
	again := r.call(vm, http.MethodPost, first.key, pulseTimeout, false)
	if again.status == http.StatusOK && first.status == http.StatusOK && again.text != first.text {
		r.problem("R7", "the repeat of key %s was answered %q, the call %q", first.key, again.text, first.text)
	}
}
