package scaling

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/claim"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// claimInterval is the commit interval that follows from a VM's share of the
// fleet's write rate limit with 9 VMs. In a real VM the store client enforces
// that limit.
const claimInterval = 30 * time.Millisecond

// claims measures the store transactions of one VM with group commit.
func claims(ctx context.Context) ([]Result, error) {
	writes := &series{name: "claim_writes", unit: "store transactions/s of a VM per non-idempotent call/s"}
	cpu := &series{name: "claim_cpu", unit: "cores per non-idempotent call/s, the store's fake included"}
	for _, rate := range []int{2, 10, 50, 200, 800} {
		if err := claimPoint(ctx, rate, writes, cpu); err != nil {
			return nil, err
		}
	}
	return resultsOf(writes, cpu), nil
}

func claimPoint(ctx context.Context, rate int, writes, cpu *series) error {
	const window = 4 * time.Second
	table := storefake.NewTable()
	table.SetFaults(storefake.Faults{Delay: 2 * time.Millisecond})
	c := claim.New(claim.Options{Table: table, Objects: storefake.NewObjects(), Holder: "slopes", MinCommitInterval: claimInterval})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.Run(ctx)
	var failed error
	used := cpuOf(func() { failed = callAtRate(ctx, c, rate, window) })
	writes.add(float64(rate), float64(table.Counts().Writes)/window.Seconds())
	cpu.add(float64(rate), used.Seconds()/window.Seconds())
	return failed
}

// callAtRate makes non-idempotent calls at a fixed rate and waits for all of
// them.
func callAtRate(ctx context.Context, c *claim.Executor, rate int, window time.Duration) error {
	var (
		running sync.WaitGroup
		mu      sync.Mutex
		failed  error
	)
	ctx, cancel := context.WithTimeout(ctx, window+10*time.Second)
	defer cancel()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range int(window.Seconds()) * rate {
		<-ticker.C
		running.Go(func() {
			_, err := c.Do(ctx, claim.Call{
				Account: "account-00001", Service: "entries", IdempotencyKey: fmt.Sprint(i), Fingerprint: claim.Fingerprint("POST", "/entry", nil),
				Send: func(_ context.Context, maySend func() error) (claim.Response, error) {
					return claim.Response{Status: 200, Body: []byte(`{"ok":true}`)}, maySend()
				},
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
		})
	}
	running.Wait()
	return failed
}
