package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/admission"
	"github.com/oriolefront/oriolefront/internal/apierror"
)

// delayedAdmitter grants nothing. It returns some time after the end of the request's context,
// as on a VM that was paused.
type delayedAdmitter time.Duration

func (d delayedAdmitter) Admit(ctx context.Context, _ *admission.Request) (*admission.Grant, error) {
	<-ctx.Done()
	time.Sleep(time.Duration(d))
	return nil, apierror.New(apierror.KindOverloaded, apierror.NotRun, "no target is left", "try again later")
}

// Guards against an empty response of success to a caller that closed only its sending side:
// net/http sends it for a handler that returns without a response.
func TestCallerThatHalfCloses(t *testing.T) {
	f := newFixture(t, 1, 1, nil)
	f.gateways[0].Admitter = delayedAdmitter(0)
	for _, stream := range []bool{false, true} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.urls[0], "http://"))
		assert.NilError(t, err)
		defer conn.Close()
		body := fmt.Sprintf(`{"model":"catalogue","prompt":"which","max_tokens":5,"stream":%t}`, stream)
		fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		text, _ := io.ReadAll(conn)
		assert.Check(t, !strings.HasPrefix(string(text), "HTTP/1.1 200"), "stream %t: %q", stream, text)
	}
}

// Guards against a connection that is closed without a response because the VM was paused when
// the request's deadline passed.
func TestDeadlinePassesWhileVMIsPaused(t *testing.T) {
	f := newFixture(t, 1, 1, nil)
	f.gateways[0].Admitter = delayedAdmitter(lastWriteGrace + 200*time.Millisecond)
	for _, stream := range []bool{false, true} {
		body := fmt.Sprintf(`{"model":"catalogue","prompt":"which","max_tokens":5,"stream":%t}`, stream)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.urls[0]+"/v1/completions", strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set(HeaderTimeout, "200")
		resp, err := testClient.Do(req)
		if assert.Check(t, err, "stream %t", stream) {
			assert.Check(t, resp.StatusCode == http.StatusGatewayTimeout, "stream %t: status %d", stream, resp.StatusCode)
			resp.Body.Close()
		}
	}
}
