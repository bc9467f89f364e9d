package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/oriolefront/oriolefront/internal/testbed"
)

// requestBody is the body of the streaming request that the demo prints and that
// -once sends.
const requestBody = `{"model":"` + testbed.Model + `","prompt":"Which stops lend atlases on Tuesday?","max_tokens":12,"stream":true}`

// printCommands prints the addresses and keys of the fleet, and commands to paste
// into a shell.
func printCommands(w io.Writer, fleet *testbed.Fleet) {
	fmt.Fprint(w, "\naddresses:\n")
	var operators []string
	for i, e := range fleet.Entries {
		s := e.Settings
		fmt.Fprintf(w, "  entry process %d, zone %s: callers http://%s operators http://%s\n", i, s.VM.Zone, s.Listen.Callers, s.Listen.Operators)
		operators = append(operators, "http://"+s.Listen.Operators)
	}
	callers := "http://" + fleet.Entries[0].Settings.Listen.Callers
	zone := fleet.Options.Zones[0]
	ctl := "go run ./cmd/oriolectl -servers " + strings.Join(operators, ",")
	fmt.Fprintf(w, "keys:\n  account %s\n  operator %s\n", testbed.AccountKey, testbed.OperatorKey)
	section(w, "variables that the README and docs/operate use",
		fmt.Sprintf("export CALLERS=%s ACCOUNT_KEY=%s ORIOLECTL_SERVERS=%s ORIOLECTL_KEY=%s",
			fleet.Entries[0].Settings.Listen.Callers, testbed.AccountKey, strings.Join(operators, ","), testbed.OperatorKey))
	section(w, "a streamed request", fmt.Sprintf("curl -sN %s/v1/completions -H 'Authorization: Bearer %s' -d '%s'", callers, testbed.AccountKey, requestBody))
	section(w, "a call to the plain service, which runs at most once for its key",
		fmt.Sprintf("curl -si %s/services/%s/loans -H 'Authorization: Bearer %s' -H 'Idempotency-Key: counter-7' -d 'atlas'", callers, testbed.PlainServiceName, testbed.AccountKey))
	section(w, "the configuration, then one zone out of service and back",
		"export ORIOLECTL_KEY="+testbed.OperatorKey, ctl+" status", ctl+" get", ctl+" -yes zone out "+zone, ctl+" -yes zone in "+zone)
	section(w, "health and metrics", "curl -s "+callers+"/readyz", "curl -s "+callers+"/metrics")
	fmt.Fprint(w, "\nserving; Ctrl-C ends it\n")
}

func section(w io.Writer, title string, commands ...string) {
	fmt.Fprintf(w, "\n%s:\n", title)
	for _, c := range commands {
		fmt.Fprintf(w, "  %s\n", c)
	}
}

// sendRequest sends the streaming request and copies the response to w.
func sendRequest(ctx context.Context, callers string, w io.Writer) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/v1/completions", strings.NewReader(requestBody))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testbed.AccountKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send the request: %w", err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	fmt.Fprintf(w, "%s", response)
	if !strings.Contains(string(response), "data: [DONE]") {
		return fmt.Errorf("the answer is not whole, HTTP status %d", resp.StatusCode)
	}
	return nil
}
