package matrix

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// verdict is the result of one cell.
type verdict struct {
	failed  bool
	took    time.Duration
	streams int
	calls   int
	patches int
}

// table collects the verdicts of a run.
type table struct {
	mu       sync.Mutex
	began    time.Time
	verdicts map[string]verdict
}

func (t *table) add(c cell, r *run, took time.Duration, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdicts[c.name()] = verdict{failed: failed, took: took, streams: len(r.streams), calls: len(r.calls), patches: len(r.patches)}
}

func (t *table) finish(test *testing.T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Print(t.text())
	if *writeDocs == "" {
		return
	}
	if err := os.WriteFile(*writeDocs, []byte(page(t)), 0o644); err != nil {
		test.Errorf("write the page: %v", err)
	}
}

func (v verdict) word() string {
	if v.failed {
		return "RED"
	}
	return "ok"
}

// text is the table that a run prints.
func (t *table) text() string {
	var b strings.Builder
	names := make([]string, 0, len(t.verdicts))
	red := 0
	for name, v := range t.verdicts {
		names = append(names, name)
		if v.failed {
			red++
		}
	}
	slices.Sort(names)
	for _, name := range names {
		v := t.verdicts[name]
		fmt.Fprintf(&b, "%-44s %-4s %5.1f s  %3d streams %3d calls %2d patches\n", name, v.word(), v.took.Seconds(), v.streams, v.calls, v.patches)
	}
	fmt.Fprintf(&b, "%d cells, %d red, in %.0f s\n", len(names), red, time.Since(t.began).Seconds())
	return b.String()
}
