// Package loadgen generates load on completion endpoints and checks the
// responses. Arrivals do not wait for responses (open loop), prompt lengths
// follow a mix, and latencies are recorded in histograms by prompt length.
package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/standin"
)

// Request is one request to send.
type Request struct {
	ID           string
	Model        string
	PromptTokens int
	MaxTokens    int
	Timeout      time.Duration
	// Prefix is the beginning of the prompt, for prompts with a shared prefix.
	Prefix string
	// ReadDelay is the delay after each event, to simulate a slow reader.
	ReadDelay time.Duration
	// DisconnectAfterEvents, if above 0, closes the connection after that many
	// events.
	DisconnectAfterEvents int
	// Resumable asks the entry process to keep the stream resumable for a while
	// after a lost connection.
	Resumable bool
}

// Result is the outcome of a request as the caller sees it.
type Result struct {
	Request          Request
	SentAt           time.Time
	TimeToFirstToken time.Duration // 0 if there was none
	Duration         time.Duration
	Status           int
	Outcome          apierror.Outcome // empty if the response was complete
	Complete         bool
	// Incorrect reports a text other than the expected one, or a stream that ended
	// as complete with too few or too many tokens.
	Incorrect   bool
	Events      int
	Error       string
	ResumeToken string
}

// Client sends requests to entry processes in round-robin order.
type Client struct {
	Entries []string // addresses, IP:port
	Key     string
	HTTP    *http.Client

	mu   sync.Mutex
	next int
}

// NewClient returns a client of the entry processes at the given addresses.
func NewClient(entries []string, key string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}
	return &Client{Entries: entries, Key: key, HTTP: &http.Client{Transport: transport}}
}

func (c *Client) entry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.Entries[c.next%len(c.Entries)]
}

var fillerText = func() string {
	r := rand.New(rand.NewPCG(1, 2))
	b := make([]byte, 6<<20)
	for i := range b {
		b[i] = byte('a' + r.IntN(26))
	}
	return string(b)
}()

// Prompt returns the text of a request's prompt. Prompts differ after the shared
// prefix, so that only the prefix is found in prefix caches.
func Prompt(r Request) string {
	size := r.PromptTokens*standin.BytesPerToken - 2 // two quotes
	head := r.Prefix + r.ID + " "
	if size <= len(head) {
		return head[:max(1, size)]
	}
	return head + fillerText[:min(size-len(head), len(fillerText))]
}

// Body returns the JSON body of a request.
func Body(r Request) []byte {
	var b bytes.Buffer
	prompt := Prompt(r)
	b.Grow(len(prompt) + 128)
	fmt.Fprintf(&b, `{"model":%q,"stream":true,"max_tokens":%d,"prompt":"`, r.Model, r.MaxTokens)
	b.WriteString(prompt)
	b.WriteString(`"}`)
	return b.Bytes()
}

// Do sends a streaming request and checks the response.
func (c *Client) Do(ctx context.Context, r Request) Result {
	return c.DoAt(ctx, c.entry(), r)
}

// DoAt is like Do, but sends the request to the given entry process.
func (c *Client) DoAt(ctx context.Context, entry string, r Request) Result {
	body := Body(r)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/completions", bytes.NewReader(body))
	result := Result{Request: r, SentAt: time.Now()}
	if err != nil {
		result.Error = err.Error()
		return result
	}
	req.Header.Set("X-Request-Id", r.ID)
	if r.Resumable {
		req.Header.Set("X-Resumable", "true")
	}
	if r.Timeout > 0 {
		req.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(r.Timeout.Milliseconds()))
	}
	c.send(req, &result, 0)
	return result
}

// Resume continues an interrupted stream at the given entry process.
func (c *Client) Resume(ctx context.Context, entry string, interrupted Result) Result {
	result := interrupted
	result.Error, result.Outcome = "", ""
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/resume", nil)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	req.Header.Set("X-Resume-Token", interrupted.ResumeToken)
	if interrupted.Events > 0 {
		req.Header.Set("Last-Event-ID", fmt.Sprint(interrupted.Events-1))
	}
	c.send(req, &result, interrupted.Events)
	return result
}

func (c *Client) send(req *http.Request, result *Result, from int) {
	defer func() { result.Duration = time.Since(result.SentAt) }()
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		result.Error = err.Error()
		return
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	if token := resp.Header.Get("X-Resume-Token"); token != "" {
		result.ResumeToken = token
	}
	if resp.StatusCode != http.StatusOK {
		readError(resp.Body, result)
		return
	}
	readStream(resp.Body, result, from)
}

func readError(body io.Reader, result *Result) {
	data, _ := io.ReadAll(io.LimitReader(body, 64<<10))
	var e apierror.Body
	if err := json.Unmarshal(data, &e); err != nil {
		result.Error = string(data)
		return
	}
	result.Outcome = e.Error.Outcome
	result.Error = string(e.Error.Code) + ": " + e.Error.Message
}

// streamChunk is the part of a chunk that is checked.
type streamChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *apierror.Detail `json:"error"`
}

func readStream(body io.Reader, result *Result, from int) {
	quoted := `"` + Prompt(result.Request) + `"`
	hash := standin.PromptHash([]byte(quoted))
	reader := bufio.NewReaderSize(body, 2<<10)
	result.Events = from
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if result.Error == "" {
				result.Error = "stream broke: " + err.Error()
			}
			return
		}
		if token, ok := strings.CutPrefix(line, ": resume-token "); ok {
			result.ResumeToken = strings.TrimSpace(token)
		}
		data, ok := strings.CutPrefix(strings.TrimRight(line, "\n"), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.Complete = result.Events == result.Request.MaxTokens
			result.Incorrect = result.Incorrect || !result.Complete
			return
		}
		if err := result.checkChunk(data, hash); err != nil {
			result.Error = err.Error()
			return
		}
		if result.Request.DisconnectAfterEvents > 0 && result.Events >= result.Request.DisconnectAfterEvents {
			result.Error = errPlannedDisconnect.Error()
			return
		}
		if result.Request.ReadDelay > 0 {
			time.Sleep(result.Request.ReadDelay)
		}
	}
}

var errPlannedDisconnect = errors.New("caller gave up as planned")

// checkChunk compares one chunk with the token that the stand-in generates for
// the prompt.
func (r *Result) checkChunk(data string, hash uint64) error {
	var l streamChunk
	if err := json.Unmarshal([]byte(data), &l); err != nil {
		return fmt.Errorf("chunk is not valid JSON: %w", err)
	}
	if l.Error != nil {
		r.Outcome = l.Error.Outcome
		return fmt.Errorf("%s: %s", l.Error.Code, l.Error.Message)
	}
	if len(l.Choices) == 0 {
		return nil
	}
	if r.TimeToFirstToken == 0 {
		r.TimeToFirstToken = time.Since(r.SentAt)
	}
	if l.Choices[0].Text != standin.OutputToken(hash, r.Events) {
		r.Incorrect = true
	}
	r.Events++
	return nil
}
