package standin

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/store"
)

// VMList is a fake of the platform's list of VMs. Changes become visible after a
// delay.
type VMList struct {
	faultInjector
	lag     time.Duration
	vmsMu   sync.Mutex
	visible map[string]store.VM
	pending []vmChange
}

// vmChange is a change that becomes visible at a given time.
type vmChange struct {
	at     time.Time
	vm     store.VM
	remove bool
}

// NewVMList returns an empty list that shows changes after lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, visible: map[string]store.VM{}}
}

// Register adds or updates the entry of a VM, identified by its peer address.
func (v *VMList) Register(vm store.VM) { v.change(vmChange{vm: vm}) }

// Remove removes the entry of the VM with the peer address.
func (v *VMList) Remove(peer string) { v.change(vmChange{vm: store.VM{Peer: peer}, remove: true}) }

func (v *VMList) change(c vmChange) {
	v.vmsMu.Lock()
	defer v.vmsMu.Unlock()
	c.at = time.Now().Add(v.lag)
	v.pending = append(v.pending, c)
}

// List returns the visible entries, sorted by peer address.
func (v *VMList) List() []store.VM {
	v.vmsMu.Lock()
	defer v.vmsMu.Unlock()
	now := time.Now()
	for len(v.pending) > 0 && !v.pending[0].at.After(now) {
		c := v.pending[0]
		v.pending = v.pending[1:]
		if c.remove {
			delete(v.visible, c.vm.Peer)
		} else {
			v.visible[c.vm.Peer] = c.vm
		}
	}
	list := make([]store.VM, 0, len(v.visible))
	for _, vm := range v.visible {
		list = append(list, vm)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Peer < list[j].Peer })
	return list
}

// VMListControl is the body of POST /control of the VM list. Absent fields change
// nothing.
type VMListControl struct {
	Register []store.VM      `json:"register"`
	Remove   []string        `json:"remove"` // peer addresses
	Faults   *PlatformFaults `json:"faults"`
}

// Handler returns the HTTP interface of the VM list.
func (v *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", v.withFaults(false, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, store.VMList{VMs: v.List()})
	}))
	mux.HandleFunc("POST /control", v.serveControl)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, v.Record()) })
	return mux
}

func (v *VMList) serveControl(w http.ResponseWriter, r *http.Request) {
	var c VMListControl
	if err := decodeStrict(r.Body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, vm := range c.Register {
		if vm.Peer == "" || (vm.State != store.VMLive && vm.State != store.VMLeaving) {
			http.Error(w, `an entry needs a peer address and the state "live" or "leaving"`, http.StatusBadRequest)
			return
		}
	}
	for _, vm := range c.Register {
		v.Register(vm)
	}
	for _, peer := range c.Remove {
		v.Remove(peer)
	}
	if c.Faults != nil {
		v.SetFaults(*c.Faults)
	}
}
