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
	mu        sync.Mutex
	startTime time.Time
	verdicts  map[string]verdict
}

func (t *table) add(c cell, r *cellRun, took time.Duration, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := verdict{failed: failed, took: took, streams: len(r.streams), calls: len(r.calls), patches: len(r.patches)}
	t.verdicts[c.name()] = v
	fmt.Println(v.line(c.name()))
}

// readEarlier adds the verdicts that earlier runs printed, so that the page can
// combine several partial runs. Verdicts of this run replace them.
func (t *table) readEarlier(file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(data)) {
		var name, word string
		var seconds float64
		if n, _ := fmt.Sscanf(line, "%s %s %f s", &name, &word, &seconds); n == 3 && (word == "ok" || word == "RED") {
			t.verdicts[name] = verdict{failed: word == "RED", took: time.Duration(seconds * float64(time.Second))}
		}
	}
	return nil
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

func (v verdict) line(name string) string {
	return fmt.Sprintf("%-44s %-4s %5.1f s  %3d streams %3d calls %2d patches", name, v.label(), v.took.Seconds(), v.streams, v.calls, v.patches)
}

func (v verdict) label() string {
	if v.failed {
		return "RED"
	}
	return "ok"
}

func (t *table) failedCells() int {
	n := 0
	for _, v := range t.verdicts {
		if v.failed {
			n++
		}
	}
	return n
}

// text returns the table that a run prints.
func (t *table) text() string {
	var b strings.Builder
	names := make([]string, 0, len(t.verdicts))
	for name := range t.verdicts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b.WriteString(t.verdicts[name].line(name) + "\n")
	}
	fmt.Fprintf(&b, "%d cells, %d red, in %.0f s\n", len(names), t.failedCells(), time.Since(t.startTime).Seconds())
	return b.String()
}
