package confsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// verdictLog collects the verdicts that operators received, by patch id.
type verdictLog struct {
	mu       sync.Mutex
	verdicts map[string][]Verdict
}

func (l *verdictLog) add(v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verdicts[v.ID] = append(l.verdicts[v.ID], v)
}

// Guards against two patches in one version, a verdict that is wrong or changes,
// and an active version that decreases: 50 operators race for 200 versions over
// 5 VMs, with lost responses, late transactions and killed submitters.
func TestConcurrentOperators(t *testing.T) {
	const operators, versions = 50, 200
	f := newFleet(t)
	f.fake.SetFaults(storefake.Faults{LoseResponse: func(store.Txn) bool { return rand.IntN(4) == 0 }})
	var vms []*vm
	for range 5 {
		late := &lateTable{Table: f.fake, late: func() bool { return rand.IntN(10) == 0 }}
		t.Cleanup(late.wg.Wait)
		vms = append(vms, f.add(late))
	}
	f.run(vms...)
	stop := watchVersions(t, vms)
	log := &verdictLog{verdicts: map[string][]Verdict{}}
	var sent sync.Map // patch id to patch
	var wg sync.WaitGroup
	var full atomic.Bool
	deadline := time.Now().Add(60 * time.Second)
	for operator := range operators {
		wg.Go(func() {
			for i := 0; !full.Load() && time.Now().Before(deadline); i++ {
				id := fmt.Sprintf("o%d-%d", operator, i)
				p := zonePatch(id, vms[rand.IntN(5)].Head().Version, fmt.Sprint("z", operator), id)
				sent.Store(id, p)
				submitUntilKnown(log, vms, p)
				full.Store(vms[0].Head().Version >= versions)
			}
		})
	}
	wg.Wait()
	stop()
	checkHistory(t, f, vms, log, &sent, versions)
}

// submitUntilKnown submits to random VMs, some of which are killed in between,
// and sometimes submits again after the verdict is known.
func submitUntilKnown(log *verdictLog, vms []*vm, p config.Patch) {
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rand.IntN(400))*time.Millisecond)
		v, err := vms[rand.IntN(len(vms))].Submit(ctx, p)
		cancel()
		if err != nil {
			continue
		}
		log.add(v)
		if rand.IntN(2) == 0 {
			return
		}
	}
}

// watchVersions fails the test if the active version of a VM decreases.
func watchVersions(t *testing.T, vms []*vm) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range vms {
		wg.Go(func() {
			last := uint64(0)
			for {
				select {
				case <-done:
					return
				default:
				}
				if c := v.holder.Current(); c != nil {
					if c.Version < last {
						t.Errorf("version of %s decreased from %d to %d", v.address, last, c.Version)
					}
					last = c.Version
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

func checkHistory(t *testing.T, f *fleet, vms []*vm, log *verdictLog, sent *sync.Map, versions uint64) {
	f.fake.SetFaults(storefake.Faults{})
	time.Sleep(100 * time.Millisecond) // late transactions
	h, err := vms[0].readHead(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, h.head.Version >= versions, "only %d versions", h.head.Version)
	f.await(h.head, vms...)
	byID := map[string]uint64{}
	current := config.Empty()
	for v := uint64(1); v <= h.head.Version; v++ {
		row := f.record(v)
		if row == nil {
			continue // compacted; later rows must continue the chain
		}
		_, p, err := config.DecodeRecord(row)
		assert.NilError(t, err)
		want, _ := sent.Load(p.ID)
		assert.DeepEqual(t, p.Operations, want.(config.Patch).Operations)
		assert.Equal(t, byID[p.ID], uint64(0), "patch %s made two versions", p.ID)
		byID[p.ID] = v
		if current.Version == v-1 {
			current, err = config.Replay(current, row)
			assert.NilError(t, err)
		}
	}
	accepted := 0
	for id, verdicts := range log.verdicts {
		for _, v := range verdicts {
			assert.Equal(t, v.Result, verdicts[0].Result, "operators of %s received different verdicts", id)
			stored, err := vms[0].Lookup(context.Background(), id)
			assert.Equal(t, err == nil, v.Result == Accepted, "verdict on %s is wrong: %v", id, v)
			if err == nil {
				accepted++
				assert.Equal(t, v.Version, stored.Version)
			}
		}
	}
	t.Logf("%d versions, %d patches with a verdict, %d verdicts of acceptance", h.head.Version, len(log.verdicts), accepted)
}

func (f *fleet) record(version uint64) []byte {
	rows, err := f.fake.Get(context.Background(), patchKey(version))
	assert.NilError(f.t, err)
	return rows[0].Value
}

// protocolModel is the model of the state-machine test: the submitted patches and
// the verdict reported for each content.
type protocolModel struct {
	f        *fleet
	vms      []*vm
	patches  []config.Patch
	verdicts map[string]Verdict // by digest
	n        int
}

// Guards against a sequence of faults that makes a verdict wrong: each content
// gets one final verdict, and only accepted patches create versions.
func TestPatchProtocol(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t)
		faults := &faultTable{Table: f.fake}
		m := &protocolModel{f: f, vms: []*vm{f.add(faults), f.add(faults)}, verdicts: map[string]Verdict{}}
		rt.Repeat(map[string]func(*rapid.T){
			"submit":  m.submitNew,
			"repeat":  m.repeat,
			"reuseID": m.reuseID,
			"faults": func(t *rapid.T) {
				fault := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
				faults.down, faults.loseResponse, faults.delay = fault("down"), fault("lose"), fault("delay")
				faults.failAfterWrite = fault("die")
				f.noQuorum.Store(fault("no quorum"))
			},
			"deliver": func(*rapid.T) { faults.deliverDelayed() },
			"poll":    func(t *rapid.T) { m.pick(t).poll(context.Background()) },
			"":        m.check,
		})
	})
}

func (m *protocolModel) pick(t *rapid.T) *vm { return rapid.SampledFrom(m.vms).Draw(t, "vm") }

func (m *protocolModel) submitNew(t *rapid.T) {
	v := m.pick(t)
	m.n++
	base := v.Head().Version + uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "ahead"))
	p := zonePatch(fmt.Sprint("p", m.n), base, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), fmt.Sprint(m.n))
	m.patches = append(m.patches, p)
	m.submit(t, v, p)
}

func (m *protocolModel) repeat(t *rapid.T) {
	if len(m.patches) > 0 {
		m.submit(t, m.pick(t), rapid.SampledFrom(m.patches).Draw(t, "patch"))
	}
}

func (m *protocolModel) reuseID(t *rapid.T) {
	if len(m.patches) > 0 {
		v := m.pick(t)
		p := zonePatch(rapid.SampledFrom(m.patches).Draw(t, "patch").ID, v.Head().Version, "c", "other")
		m.patches = append(m.patches, p)
		m.submit(t, v, p)
	}
}

func (m *protocolModel) submit(t *rapid.T, v *vm, p config.Patch) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	before := m.written()
	got, err := v.Submit(ctx, p)
	if err != nil {
		outcome := apierror.From(err).Outcome
		assert.Assert(t, outcome == apierror.OutcomeUnknown || m.written() == before, "not run is wrong: %v", err)
		return
	}
	first, known := m.verdicts[got.Digest]
	if !known {
		m.verdicts[got.Digest] = got
		return
	}
	assert.Equal(t, got.Result, first.Result, "verdict %v, then %v", first, got)
	if got.Result == Accepted {
		assert.Equal(t, got.Version, first.Version)
	}
}

// written returns the version in the store.
func (m *protocolModel) written() uint64 {
	rows, err := m.f.fake.Get(context.Background(), keyHead)
	assert.NilError(m.f.t, err)
	var head Head
	assert.NilError(m.f.t, decodeRow(rows[0], &head))
	return head.Version
}

// check compares the store with the reported verdicts.
func (m *protocolModel) check(t *rapid.T) {
	made := map[string]uint64{}
	for version := uint64(1); version <= m.written(); version++ {
		_, p, err := config.DecodeRecord(m.f.record(version))
		assert.NilError(t, err)
		digest, err := p.Digest()
		assert.NilError(t, err)
		assert.Equal(t, made[digest], uint64(0))
		made[digest] = version
	}
	for digest, v := range m.verdicts {
		if v.Result == Accepted {
			assert.Equal(t, made[digest], v.Version)
		} else {
			assert.Equal(t, made[digest], uint64(0), "%s was refused and accepted", v.ID)
		}
	}
}
