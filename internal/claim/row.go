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

// rowPrefix is the key prefix of claim rows and the name prefix of stored
// response bodies.
const rowPrefix = "claim/"

// state is the state of a call in its claim row.
type state string

const (
	running state = "running" // claimed, and perhaps sent
	done    state = "done"    // ran, and the response is known
	notRun  state = "not_run" // not sent by its holder, or not run by the target
	unknown state = "unknown" // sent without a response
)

// row is the decoded value of a claim row.
type row struct {
	State       state  `json:"state"`
	Nonce       string `json:"nonce"` // unique for each attempt to claim
	Fingerprint string `json:"fingerprint"`
	Holder      string `json:"holder"`
	// ClaimedMS and DeadlineMS are Unix times in milliseconds.
	ClaimedMS  int64          `json:"claimed_ms"`
	DeadlineMS int64          `json:"deadline_ms"`
	Response   storedResponse `json:"result"`
}

// storedResponse is the response of a call in state done.
type storedResponse struct {
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// ObjectName names the object that holds the body. It is empty if the body is
	// in the row.
	ObjectName string `json:"object,omitempty"`
	// BodyNotStored reports that the body was incomplete, too large, or could not
	// be stored.
	BodyNotStored bool `json:"not_kept,omitempty"`
}

func (r row) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // every field has a type that can be encoded
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
			return r, merry.Errorf("claim row has invalid status %d", r.Response.Status)
		}
	default:
		return r, merry.Errorf("claim row has unknown state %q", r.State)
	}
	if r.Nonce == "" {
		return r, merry.New("claim row has no nonce")
	}
	return r, nil
}

// rowKey returns the key of the row of a call. Account and service are escaped,
// so that different calls never share a row.
func rowKey(c *Call) string {
	sum := sha256.Sum256([]byte(c.IdempotencyKey))
	return rowPrefix + url.PathEscape(c.Account) + "/" + url.PathEscape(c.Service) + "/" + hex.EncodeToString(sum[:])
}

// Fingerprint returns a hash of a request. It detects the reuse of an idempotency
// key for another request.
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
