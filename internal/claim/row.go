package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"
)

// rowPrefix begins the keys of all claim rows and the names of kept answers.
const rowPrefix = "claim/"

// state is what a claim row says about its call.
type state string

const (
	running state = "running" // claimed; it may have been sent
	done    state = "done"    // it ran and the result is known
	notRun  state = "not_run" // its holder did not send it, or the target did not run it
	unknown state = "unknown" // it was sent and no answer came
)

// row is the value of a claim row.
type row struct {
	State       state  `json:"state"`
	Nonce       string `json:"nonce"` // differs for each attempt to claim
	Fingerprint string `json:"fingerprint"`
	Holder      string `json:"holder"`
	// ClaimedMS and DeadlineMS are Unix times in milliseconds.
	ClaimedMS  int64          `json:"claimed_ms"`
	DeadlineMS int64          `json:"deadline_ms"`
	Response   storedResponse `json:"result"`
}

// storedResponse is the kept answer of a call in state done.
type storedResponse struct {
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// ObjectName names the object that holds the body if it is not in the row.
	ObjectName string `json:"object,omitempty"`
	// BodyNotStored says that the body was too large to be kept, or incomplete.
	BodyNotStored bool `json:"not_kept,omitempty"`
}

func (r row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a row holds only types that can be encoded
	}
	return data
}

func decodeRow(data []byte) (row, error) {
	var r row
	if err := json.Unmarshal(data, &r); err != nil {
		return r, merry.Prepend(err, "claim row")
	}
	switch r.State {
	case running, notRun, unknown:
	case done:
		if r.Response.Status < 100 || r.Response.Status > 999 {
			return r, merry.Errorf("claim row has the status %d", r.Response.Status)
		}
	default:
		return r, merry.Errorf("claim row has the state %q", r.State)
	}
	if r.Nonce == "" {
		return r, merry.New("claim row has no nonce")
	}
	return r, nil
}

// rowKey names the row of a call. Parts are escaped, so that two calls with
// different parts never share a row.
func rowKey(c *Call) string {
	sum := sha256.Sum256([]byte(c.IdempotencyKey))
	return rowPrefix + url.PathEscape(c.Account) + "/" + url.PathEscape(c.Service) + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint identifies a request, so that a key is not used for another one.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func newNonce() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
