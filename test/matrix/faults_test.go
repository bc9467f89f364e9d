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
	name        string
	description string
	duration    time.Duration // time between inject and heal
	inject      func(r *cellRun)
	heal        func(r *cellRun)
	// engineFault is true if the fault affects an engine.
	engineFault bool
	// vmStops is true if the VM cannot act while the fault lasts.
	vmStops bool
	// allowedFailures maps steps whose operation may fail to the reason. The failure
	// must still be reported in time and correctly.
	allowedFailures map[string]string
}

const (
	freezeTime = 4 * time.Second // longer than the 3 s after which a VM is isolated
	// leaseExpiryTime is longer than the 7 s of a seat's lease and than the takeover
	// timeout of 10 s.
	leaseExpiryTime = 11500 * time.Millisecond
	shortFaultTime  = 2500 * time.Millisecond
	// storeFaultTime is longer than the 3 s after which the connectivity changes.
	storeFaultTime   = 4 * time.Second
	linkDelay        = 200 * time.Millisecond
	storeDelayMS     = 700 // below the 1 s timeout of one call to the store
	engineFreezeTime = 2500 * time.Millisecond
	responseDelay    = 1500 * time.Millisecond
	burstSize        = 12
)

var (
	reasonVMGone        = "the caller's VM is gone before the caller holds a resume token"
	reasonIsolated      = "the VM is isolated when it wakes up and may refuse"
	reasonNoClaim       = "without the store a claim cannot be written, so the call is refused as not run"
	reasonNoResponse    = "the VM that waits for the answer is gone or frozen, or cannot write the result: outcome unknown"
	reasonNoPatch       = "a patch needs the store and a quorum"
	reasonPatchConflict = "one of the racing patches wins; the others are refused"
)

var faults = []*fault{
	{
		name: "process_kill", description: "SIGKILL of a VM's process; it is started again 1 s later", duration: time.Second, vmStops: true,
		inject: func(r *cellRun) { r.harness.fleet.Entries[r.vm].Kill() },
		heal:   func(r *cellRun) { r.restart(r.vm) },
		allowedFailures: map[string]string{
			"before_arrival": reasonVMGone, "queued": reasonVMGone, "sent": reasonVMGone,
			"before_claim": reasonNoResponse, "claimed": reasonNoResponse, "call_sent": reasonNoResponse, "answered": reasonNoResponse,
			"submit": reasonNoPatch, "accepted": "the answer to the operator is lost",
		},
	},
	{
		name: "process_freeze", description: "SIGSTOP of a VM's process for 4 s, late wake", duration: freezeTime, vmStops: true,
		inject: freezeVM, heal: thawVM,
		allowedFailures: map[string]string{
			"before_arrival": reasonIsolated, "queued": reasonIsolated, "before_claim": reasonIsolated, "claimed": reasonIsolated,
			"call_sent": reasonNoResponse, "submit": reasonNoPatch, "accepted": reasonNoPatch,
		},
	},
	{
		name: "lease_lapse", description: "SIGSTOP of a VM's process for 11.5 s: its seat lease lapses and request deadlines pass", duration: leaseExpiryTime, vmStops: true,
		inject: freezeVM, heal: thawVM,
		allowedFailures: allCallerSteps("the deadline passes while the VM is frozen"),
	},
	{
		name: "link_cut", description: "connections of other VMs to one VM are refused for 2.5 s", duration: shortFaultTime,
		inject: func(r *cellRun) { r.harness.fleet.Entries[r.vm].PeerProxy.SetMode(faultproxy.Disconnect, 0) },
		heal:   func(r *cellRun) { r.harness.fleet.Entries[r.vm].PeerProxy.SetMode(faultproxy.Forward, 0) },
	},
	{
		name: "link_slow", description: "200 ms are added to each message to one VM and its answer for 2.5 s", duration: shortFaultTime,
		inject: func(r *cellRun) { r.harness.fleet.Entries[r.vm].PeerProxy.SetMode(faultproxy.Forward, linkDelay) },
		heal:   func(r *cellRun) { r.harness.fleet.Entries[r.vm].PeerProxy.SetMode(faultproxy.Forward, 0) },
	},
	{
		name: "store_cut", description: "one VM is cut off from the table service for 4 s", duration: storeFaultTime,
		inject: func(r *cellRun) { r.harness.fleet.Entries[r.vm].StoreProxy.SetMode(faultproxy.Disconnect, 0) },
		heal:   func(r *cellRun) { r.harness.fleet.Entries[r.vm].StoreProxy.SetMode(faultproxy.Forward, 0) },
		allowedFailures: map[string]string{
			"before_claim": reasonNoClaim, "claimed": reasonNoClaim, "call_sent": reasonNoResponse, "submit": reasonNoPatch, "accepted": reasonNoPatch,
		},
	},
	{
		name: "store_down", description: "the table service and the object store answer 503 for 4 s", duration: storeFaultTime,
		inject: func(r *cellRun) { r.storeFaults(standin.PlatformFaults{Down: true}) },
		heal:   func(r *cellRun) { r.storeFaults(standin.PlatformFaults{}) },
		allowedFailures: map[string]string{
			"before_claim": reasonNoClaim, "claimed": reasonNoClaim, "call_sent": reasonNoResponse, "submit": reasonNoPatch, "accepted": reasonNoPatch,
		},
	},
	{
		name: "store_slow", description: "each call to the table service and the object store takes 700 ms longer for 4 s", duration: storeFaultTime,
		inject: func(r *cellRun) { r.storeFaults(standin.PlatformFaults{DelayMS: storeDelayMS}) },
		heal:   func(r *cellRun) { r.storeFaults(standin.PlatformFaults{}) },
	},
	{
		name: "answer_lost", description: "each write to the store takes effect and its answer is lost, for 2.5 s", duration: shortFaultTime,
		inject: func(r *cellRun) { r.storeFaults(standin.PlatformFaults{LoseResponseEvery: 1}) },
		heal:   func(r *cellRun) { r.storeFaults(standin.PlatformFaults{}) },
	},
	{
		name: "engine_death", description: "an engine loses all work, is down for 0.5 s and then cold for 2 s", duration: time.Second, engineFault: true,
		inject: func(r *cellRun) {
			r.requireNoError(r.harness.control(r.engineAddress(), map[string]any{"crash": true}))
		},
	},
	{
		name: "engine_freeze", description: "an engine stops all work for 2.5 s with its connections open", duration: engineFreezeTime, engineFault: true,
		inject: func(r *cellRun) {
			r.requireNoError(r.harness.control(r.engineAddress(), map[string]any{"freeze_ms": engineFreezeTime.Milliseconds()}))
		},
	},
	{
		name: "engine_cold", description: "a warm engine turns cold for 2 s with the same start number; 12 requests follow 1.2 s later", duration: 2500 * time.Millisecond, engineFault: true,
		inject: func(r *cellRun) {
			r.requireNoError(r.harness.control(r.engineAddress(), map[string]any{"cold": true}))
			// A VM may use its warm share for 1 s after the last response that
			// showed the engine warm.
			r.after(1200*time.Millisecond, func() { r.burst() })
		},
	},
	{
		name: "late_answers", description: "what an engine sends is held back for 1.5 s while several requests are in progress, then arrives at once", duration: responseDelay, engineFault: true,
		inject: func(r *cellRun) {
			r.harness.fleet.Engines[r.engine].Proxy.SetMode(faultproxy.Stall, 0)
			r.burst()
		},
		heal: func(r *cellRun) { r.harness.fleet.Engines[r.engine].Proxy.SetMode(faultproxy.Forward, 0) },
	},
	{
		name: "cache_gaps", description: "12 requests with a common prefix while each second cache event is lost", duration: 500 * time.Millisecond, engineFault: true,
		inject: func(r *cellRun) { r.burst() },
	},
	{
		name: "racing_operators", description: "6 operators submit patches against the same version through all VMs", duration: time.Second,
		inject: func(r *cellRun) {
			base := r.harness.versions.highest()
			for i := range 6 {
				r.pending.Go(func() { r.submitAt(i%vmCount, base, r.nextID("race"), false, r.unrelatedOperation()) })
			}
		},
		allowedFailures: map[string]string{"submit": reasonPatchConflict, "accepted": reasonPatchConflict},
	},
}

// allCallerSteps allows failures of all operations that go through the faulty VM.
func allCallerSteps(reason string) map[string]string {
	m := map[string]string{}
	for _, s := range []string{
		"before_arrival", "queued", "sent", "middle", "end", "before_claim", "claimed", "call_sent", "answered", "submit", "accepted",
	} {
		m[s] = reason
	}
	return m
}

func (r *cellRun) engineAddress() string { return r.harness.fleet.Engines[r.engine].Address }

func (r *cellRun) storeFaults(f standin.PlatformFaults) {
	for _, address := range []string{r.harness.fleet.TableAddress, r.harness.fleet.ObjectStoreAddress} {
		if err := r.harness.control(address, f); err != nil {
			r.problem("harness", "%v", err)
		}
	}
}

func freezeVM(r *cellRun) { r.harness.fleet.Entries[r.vm].Freeze() }

func thawVM(r *cellRun) {
	r.harness.fleet.Entries[r.vm].Thaw()
	r.recordAvailable(r.vm)
}

// recordAvailable records that a VM can act again from now on.
func (r *cellRun) recordAvailable(vm int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailableUntil[vm] = time.Now()
}

// restart starts the process of a VM that has ended and waits until it is ready.
func (r *cellRun) restart(vm int) {
	r.harness.versions.restarted(vm)
	r.harness.fleet.Entries[vm].Start()
	if err := r.harness.ready(vm, readyTimeout); err != nil {
		r.problem("R1", "after a restart: %v", err)
	}
	r.recordAvailable(vm)
}

func (r *cellRun) after(d time.Duration, f func()) {
	r.pending.Go(func() {
		time.Sleep(d)
		f()
	})
}

// burst sends requests with a common prefix through all VMs at once.
func (r *cellRun) burst() {
	for i := range burstSize {
		r.pending.Go(func() {
			r.stream(i%vmCount, loadgen.Request{
				ID: r.nextID("burst"), PromptTokens: 600, MaxTokens: 40, Timeout: requestTimeout, Prefix: sharedPrefix,
			}, false)
		})
	}
}

// retry sends a plain call again with the same idempotency key.
func (r *cellRun) retry(vm int, first plainCallResult) {
	second := r.call(vm, http.MethodPost, first.key, backgroundTimeout, false)
	if second.status == http.StatusOK && first.status == http.StatusOK && second.text != first.text {
		r.problem("R7", "the retry of key %s got the response %q, the first call %q", first.key, second.text, first.text)
	}
}
