package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/confsync"
	"github.com/oriolefront/oriolefront/internal/operator"
)

const (
	// requestTimeout is longer than a VM takes to give up a submission (10 s).
	requestTimeout = 12 * time.Second
	// maxAnswerBytes bounds an answer: a whole configuration of the planned
	// size has about 4 MB.
	maxAnswerBytes = 64 << 20
)

// client asks operator interfaces in order until one answers.
type client struct {
	servers []string
	key     string
	http    *http.Client
}

func newClient(servers []string, key string) *client {
	return &client{servers: servers, key: key, http: &http.Client{Timeout: requestTimeout}}
}

// answer is what one server said.
type answer struct {
	status int
	body   []byte
}

// refusedError is a final refusal of a patch.
type refusedError struct{ verdict confsync.Verdict }

func (e refusedError) Error() string {
	text := fmt.Sprintf("refused: %s; %s", e.verdict.Reason, e.verdict.Remedy)
	if len(e.verdict.Conflicts) > 0 {
		text += "; changed since the base: " + strings.Join(e.verdict.Conflicts, ", ")
	}
	return text
}

// unknownError says that a submission may have been accepted.
type unknownError struct {
	id    string
	cause error
}

func (e unknownError) Error() string {
	return fmt.Sprintf("the outcome of patch %s is unknown: %v; repeat the same command with -id %s and -base as shown, or ask with: oriolectl patch show %s", e.id, e.cause, e.id, e.id)
}

// notFoundError is the answer that an object does not exist.
type notFoundError struct{ error }

// invalidError is a request that the server found invalid.
type invalidError struct{ error }

// send asks one server.
func (c *client) send(ctx context.Context, server, method, path string, body []byte) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return answer{status: resp.StatusCode, body: data}, err
}

// get decodes the answer of the first server that has one.
func (c *client) get(ctx context.Context, path string, v any) error {
	var errs []error
	for _, server := range c.servers {
		a, err := c.send(ctx, server, http.MethodGet, path, nil)
		if err == nil && a.status == http.StatusOK {
			if err = json.Unmarshal(a.body, v); err == nil {
				return nil
			}
		} else if err == nil {
			err = answerError(a)
			if a.status == http.StatusNotFound {
				return notFoundError{err}
			}
		}
		errs = append(errs, fmt.Errorf("%s: %w", server, err))
	}
	return errors.Join(errs...)
}

// answerError returns the error in the body of an answer.
func answerError(a answer) error {
	var body apierror.Body
	if err := json.Unmarshal(a.body, &body); err != nil || body.Error.Code == "" {
		return fmt.Errorf("status %d without an error that can be read", a.status)
	}
	return fmt.Errorf("%s (%s): %s", body.Error.Code, body.Error.Outcome, body.Error.Message)
}

// submit sends a patch to one server after the other until its verdict is
// known. Once an answer was lost, "not run" from another server speaks of that
// server's submission only, so the outcome stays unknown.
func (c *client) submit(ctx context.Context, p config.Patch) (confsync.Verdict, error) {
	body, err := p.Encode()
	if err != nil {
		return confsync.Verdict{}, invalidError{err}
	}
	var errs []error
	uncertain := false
	for _, server := range c.servers {
		a, err := c.send(ctx, server, http.MethodPost, "/config/patches", body)
		verdict, err := readVerdict(a, err)
		if err == nil || errors.As(err, &refusedError{}) {
			return verdict, err
		}
		if errors.As(err, &invalidError{}) && !uncertain {
			return verdict, err
		}
		uncertain = uncertain || errors.As(err, &unknownError{})
		errs = append(errs, fmt.Errorf("%s: %w", server, err))
	}
	err = errors.Join(errs...)
	if uncertain {
		return confsync.Verdict{}, unknownError{id: p.ID, cause: err}
	}
	return confsync.Verdict{}, err
}

// readVerdict tells a verdict, not run, invalid and unknown apart. Anything
// that does not say "not run" is unknown, except a connection that was refused
// before a byte was sent.
func readVerdict(a answer, err error) (confsync.Verdict, error) {
	var verdict confsync.Verdict
	if err != nil && notSent(err) {
		return verdict, err
	}
	if err != nil {
		return verdict, unknownError{cause: err}
	}
	if a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, &verdict); err != nil || verdict.Result != confsync.Accepted {
			return verdict, unknownError{cause: errors.New("the answer cannot be read")}
		}
		return verdict, nil
	}
	var refused operator.RefusedBody
	if json.Unmarshal(a.body, &refused) == nil && refused.Verdict.Result == confsync.Refused {
		return refused.Verdict, refusedError{refused.Verdict}
	}
	err = answerError(a)
	switch {
	case refused.Error.Outcome != apierror.NotRun:
		return verdict, unknownError{cause: err}
	case refused.Error.Code == apierror.KindInvalidRequest || refused.Error.Code == apierror.KindTooLarge:
		return verdict, invalidError{err}
	}
	return verdict, err
}
