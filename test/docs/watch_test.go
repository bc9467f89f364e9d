// Package docs checks that the documentation matches the programs.
package docs

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

var (
	metricRow  = regexp.MustCompile("(?m)^\\| `(oriolefront_[a-z_]+)(?:{([a-z_,]+)})?` \\| [^|]+ \\| [^|]+ \\|$")
	metricLine = regexp.MustCompile(`(?m)^(oriolefront_[a-z_]+)(?:{([^}]*)})? `)
	labelName  = regexp.MustCompile(`([a-z_]+)="`)
)

// Guards against a metric that the page does not describe, and against a described
// metric that a running entry process does not expose.
func TestWatchPageDescribesEveryMetric(t *testing.T) {
	o := testbed.Bibliobuz()
	o.Entries, o.Engines = 2, 3
	bed, err := testbed.Start(t.Context(), o)
	assert.NilError(t, err)
	defer bed.Close()
	client := loadgen.NewClient(bed.CallerAddresses(), testbed.AccountKey)
	for range 4 {
		r := client.Do(t.Context(), loadgen.Request{ID: "watch", Model: testbed.Model, PromptTokens: 100, MaxTokens: 2, Timeout: 10 * time.Second})
		assert.Assert(t, r.Complete, "%+v", r)
	}
	assert.NilError(t, bed.SetZoneOutOfService(t.Context(), o.Zones[0], true)) // makes the other VM report how long the version took to reach it
	page, err := os.ReadFile("../../docs/operate/watch.md")
	assert.NilError(t, err)
	described := map[string]bool{}
	for _, row := range metricRow.FindAllStringSubmatch(string(page), -1) {
		described[metricName(row[1], strings.Split(row[2], ","))] = true
	}
	var exposed map[string]bool
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		exposed = map[string]bool{}
		for _, address := range bed.CallerAddresses() {
			scrape(t, address, exposed)
		}
		if len(exposed) == len(described) {
			break
		}
	}
	assert.DeepEqual(t, exposed, described)
}

// scrape adds the metrics of one entry process, with their labels, to into.
func scrape(t *testing.T, address string, into map[string]bool) {
	t.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	for _, line := range metricLine.FindAllStringSubmatch(string(text), -1) {
		var labels []string
		for _, label := range labelName.FindAllStringSubmatch(line[2], -1) {
			if label[1] != "vmrange" {
				labels = append(labels, label[1])
			}
		}
		base := line[1]
		for _, suffix := range []string{"_seconds_bucket", "_seconds_sum", "_seconds_count"} {
			if rest, ok := strings.CutSuffix(base, suffix); ok {
				base = rest + "_seconds"
			}
		}
		into[metricName(base, labels)] = true
	}
}

// metricName returns the name of a metric with its sorted labels.
func metricName(base string, labels []string) string {
	slices.Sort(labels)
	return base + "{" + strings.Join(labels, ",") + "}"
}
