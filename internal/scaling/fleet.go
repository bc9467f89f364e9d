package scaling

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/httpstore"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

// idleFleetOptions returns the options of a fleet that serves no requests.
func idleFleetOptions(entries int) testbed.Options {
	o := testbed.Bibliobuz()
	o.Entries = entries
	o.Engines = 3
	o.PlainTargets = 0
	o.Engine.ColdDuration = 0
	return o
}

// controlTraffic counts messages between entry processes and calls to the store.
type controlTraffic struct {
	link  link.Stats
	store httpstore.Stats
}

func controlTrafficOf(entries []*testbed.Entry) (sum controlTraffic) {
	for _, e := range entries {
		sum.link = sum.link.Add(e.Process.LinkStats())
		s := e.Process.StoreStats()
		sum.store.Table.Reads += s.Table.Reads
		sum.store.Table.Writes += s.Table.Writes
		sum.store.VMs.Reads += s.VMs.Reads
	}
	return sum
}

// fleetTraffic measures the control traffic and the memory of idle entry
// processes.
func fleetTraffic(ctx context.Context) ([]Result, error) {
	bytes := &series{name: "fleet_link_bytes", unit: "bytes/s of a VM, in and out, per VM", planX: plannedVMs}
	messages := &series{name: "fleet_link_messages", unit: "messages/s of a VM, in and out, per VM", planX: plannedVMs}
	reads := &series{name: "fleet_table_reads", unit: "reads/s of all VMs per VM, while the least intervals apply"}
	writes := &series{name: "fleet_table_writes", unit: "writes/s of all VMs per VM, while the least intervals apply"}
	lists := &series{name: "fleet_list_reads", unit: "reads/s of the VM list by all VMs per VM, while the least interval applies"}
	rowBytes := &series{name: "seat_rows_bytes", unit: "bytes of one reading of all seat rows per seat", planX: plannedVMs}
	listBytes := &series{name: "list_bytes", unit: "bytes of one reading of the VM list per VM", planX: plannedVMs}
	heap := &series{name: "fleet_heap", unit: "heap and stacks of all entry processes per VM, 3 engines"}
	for _, n := range []int{3, 6, 9, 12, 15} {
		heapBefore := heapBytes()
		fleet, err := testbed.Start(ctx, idleFleetOptions(n))
		if err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second)
		const window = 12 * time.Second
		before := controlTrafficOf(fleet.Entries)
		time.Sleep(window)
		after := controlTrafficOf(fleet.Entries)
		x, perSecond := float64(n), 1/window.Seconds()
		bytes.add(x, float64(after.link.BytesIn+after.link.BytesOut-before.link.BytesIn-before.link.BytesOut)*perSecond/x)
		messages.add(x, float64(after.link.MessagesIn+after.link.MessagesOut-before.link.MessagesIn-before.link.MessagesOut)*perSecond/x)
		reads.add(x, float64(after.store.Table.Reads-before.store.Table.Reads)*perSecond)
		writes.add(x, float64(after.store.Table.Writes-before.store.Table.Writes)*perSecond)
		lists.add(x, float64(after.store.VMs.Reads-before.store.VMs.Reads)*perSecond)
		heap.add(x, heapBytes()-heapBefore)
		rows, err := fleet.Table.Underlying().Scan(ctx, "seat/", "", 1000)
		if err != nil {
			return nil, err
		}
		rowBytes.add(x, encodedSize(store.RowsResponse{Rows: rows}))
		listBytes.add(x, encodedSize(store.VMList{VMs: fleet.VMs.List()}))
		fleet.Close()
		time.Sleep(time.Second)
	}
	return resultsOf(bytes, messages, reads, writes, lists, rowBytes, listBytes, heap), nil
}

// encodedSize returns the size of a response of the platform's services.
func encodedSize(v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return float64(len(data))
}

// replacement measures the messages and store calls that the replacement of VMs
// adds over all VMs. A VM is replaced by a graceful shutdown and a new start.
func replacement(ctx context.Context) ([]Result, error) {
	bytes := &series{name: "replacement_bytes", unit: "bytes on links of all VMs per replaced VM"}
	messages := &series{name: "replacement_messages", unit: "messages on links of all VMs per replaced VM"}
	reads := &series{name: "replacement_reads", unit: "table reads per replaced VM"}
	writes := &series{name: "replacement_writes", unit: "table writes per replaced VM"}
	fleet, err := testbed.Start(ctx, idleFleetOptions(6))
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	time.Sleep(3 * time.Second)
	for _, replaced := range []int{0, 1, 2, 4, 0, 3} {
		const window = 14 * time.Second
		before, end := controlTrafficOf(fleet.Entries), time.Now().Add(window)
		for range replaced {
			if err := replaceOldestEntry(ctx, fleet); err != nil {
				return nil, err
			}
		}
		time.Sleep(time.Until(end))
		after := controlTrafficOf(fleet.Entries)
		x := float64(replaced)
		bytes.add(x, float64(after.link.BytesIn+after.link.BytesOut-before.link.BytesIn-before.link.BytesOut))
		messages.add(x, float64(after.link.MessagesIn+after.link.MessagesOut-before.link.MessagesIn-before.link.MessagesOut))
		reads.add(x, float64(after.store.Table.Reads-before.store.Table.Reads))
		writes.add(x, float64(after.store.Table.Writes-before.store.Table.Writes))
	}
	return resultsOf(bytes, messages, reads, writes), nil
}

// replaceOldestEntry stops the oldest running entry process and starts another.
func replaceOldestEntry(ctx context.Context, fleet *testbed.Fleet) error {
	for i, e := range fleet.Entries {
		if e.Stopped() {
			continue
		}
		if err := e.Stop(ctx); err != nil {
			return err
		}
		fleet.VMs.Remove(e.Settings.Listen.PeerAddress())
		next, err := fleet.AddEntry(i)
		if err != nil {
			return err
		}
		return next.AwaitReady(ctx, 20*time.Second)
	}
	return nil
}
