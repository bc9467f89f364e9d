package path

import (
	"crypto/tls"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/certs"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/operator"
	"github.com/oriolefront/oriolefront/test/fleet"
)

// newCertificates creates an authority and a certificate for the loopback address in
// a new directory.
func newCertificates(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, certs.NewAuthority(dir))
	assert.NilError(t, certs.Issue(dir, "127.0.0.1"))
	return dir
}

// joinTimeout is how long a VM with a certificate of another authority is observed. A
// VM of the right authority is ready in a fraction of this time.
const joinTimeout = 15 * time.Second

// Guards against links that do not work over mutual TLS, and against a VM that
// joins the fleet with a certificate of another authority.
func TestMutualTLS(t *testing.T) {
	f := fleet.Start(t, fleet.Options{Engines: 3, Entries: 3, CertificateDir: newCertificates(t)})
	client := loadgen.NewClient([]string{f.Entries[1].CallerAddress}, fleet.AccountKey)
	r := client.Do(t.Context(), loadgen.Request{ID: "tls", Model: "catalogue", PromptTokens: 1000, MaxTokens: 20})
	assert.Assert(t, r.Complete && !r.Incorrect, "%+v", r)
	f.Ctl(0, "-yes", "zone", "out", "iasi")
	f.Ctl(0, "wait") // the other VMs receive the version over TLS
	for _, peer := range status(t, f, 0).Peers {
		assert.Equal(t, peer.State, "live")
		assert.Equal(t, peer.Version, uint64(2))
	}
	foreignDir := newCertificates(t)
	assert.ErrorContains(t, dialTLS(t, f.Entries[0].PeerAddress, foreignDir), "remote error: tls")
	assert.ErrorContains(t, dialTLS(t, f.Entries[0].PeerAddress, ""), "remote error: tls")
	assert.Assert(t, os.IsTimeout(dialTLS(t, f.Entries[0].PeerAddress, f.CertificateDir)), "a valid certificate is refused")

	assert.NilError(t, <-f.Entries[2].Stop()) // its seat is vacant now
	f.Unregister(f.Entries[2])

	validDir := f.CertificateDir
	f.CertificateDir = foreignDir
	foreign := f.AddEntry()
	for end := time.Now().Add(joinTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if resp, err := http.Get("http://" + foreign.CallerAddress + "/readyz"); err == nil {
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, "a VM of another authority is ready")
		}
	}
	for _, peer := range status(t, f, 0).Peers {
		if strings.HasPrefix(peer.Instance, foreign.PeerProxy.Address()+"#") {
			assert.Assert(t, peer.State != "live" && len(peer.Seats) == 0, "%+v", peer)
		}
	}
	own := status(t, f, 3)
	assert.Equal(t, len(own.Seats), 0, "%+v", own)
	assert.Equal(t, own.Version, uint64(2), "the VM reaches the store, so only the links exclude it: %+v", own)
	foreign.Kill()
	f.Unregister(foreign)

	f.CertificateDir = validDir
	f.AddEntry().AwaitReady(joinTimeout)
}

// dialTLS connects to a link without verifying the server's certificate and returns
// the error of the first read: the server's refusal, or a timeout if the server
// accepted the connection and waits for messages.
func dialTLS(t *testing.T, address, dir string) error {
	t.Helper()
	c := &tls.Config{InsecureSkipVerify: true}
	if dir != "" {
		pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "127.0.0.1.pem"), filepath.Join(dir, "127.0.0.1-key.pem"))
		assert.NilError(t, err)
		// Without this callback the client would send no certificate to a server
		// that requests one of another authority.
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	conn, err := tls.Dial("tcp", address, c)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	return err
}

func status(t *testing.T, f *fleet.Fleet, entry int) operator.Status {
	t.Helper()
	var s operator.Status
	assert.NilError(t, json.Unmarshal([]byte(f.Ctl(entry, "-o", "json", "status")), &s))
	return s
}
