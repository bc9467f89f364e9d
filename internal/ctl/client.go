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
	// requestTimeout exceeds the 10 s after which a VM stops processing a
	// submission.
	requestTimeout = 12 * time.Second
	// maxResponseBytes bounds a response body. A complete configuration of the
	// planned size has about 4 MB.
	maxResponseBytes = 64 << 20
)

// client sends each request to the operator interfaces in order until one
// responds.
type client struct {
	servers []string
	key     string
	http    *http.Client
}

func newClient(servers []string, key string) *client {
	return &client{servers: servers, key: key, http: &http.Client{Timeout: requestTimeout}}
}

type response struct {
	status int
	body   []byte
}

// refusedError is the final rejection of a patch.
type refusedError struct{ verdict confsync.Verdict }

func (e refusedError) Error() string {
	text := fmt.Sprintf("refused: %s; %s", e.verdict.Reason, e.verdict.Remedy)
	if len(e.verdict.Conflicts) > 0 {
		text += "; changed since the base: " + strings.Join(e.verdict.Conflicts, ", ")
	}
	return text
}

// outcomeUnknownError reports a submission that may have been accepted.
type outcomeUnknownError struct {
	id    string
	cause error
}

func (e outcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of patch %s is unknown: %v; repeat the same command with -id %s and -base as shown, or ask with: oriolectl patch show %s", e.id, e.cause, e.id, e.id)
}

// notFoundError reports that the requested object does not exist.
type notFoundError struct{ error }

// invalidError reports a request that was rejected as invalid.
type invalidError struct{ error }

// send sends a request to one server.
func (c *client) send(ctx context.Context, server, method, path string, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return response{status: resp.StatusCode, body: data}, err
}

// get decodes the response of the first server that returns the object. A
// status 404 is final.
func (c *client) get(ctx context.Context, path string, v any) error {
	var errs []error
	for _, server := range c.servers {
		r, err := c.send(ctx, server, http.MethodGet, path, nil)
		if err == nil && r.status == http.StatusOK {
			if err = json.Unmarshal(r.body, v); err == nil {
				return nil
			}
		} else if err == nil {
			err = responseError(r)
			if r.status == http.StatusNotFound {
				return notFoundError{err}
			}
		}
		errs = append(errs, fmt.Errorf("%s: %w", server, err))
	}
	return errors.Join(errs...)
}

// responseError decodes the error from the body of a response.
func responseError(r response) error {
	var body apierror.Body
	if err := json.Unmarshal(r.body, &body); err != nil || body.Error.Code == "" {
		return fmt.Errorf("status %d without an error that can be read", r.status)
	}
	return fmt.Errorf("%s (%s): %s", body.Error.Code, body.Error.Outcome, body.Error.Message)
}

// submit sends a patch to the servers in order until its verdict is known. Once
// a response was lost, "not run" from another server applies only to the
// submission to that server, so the outcome stays unknown.
func (c *client) submit(ctx context.Context, p config.Patch) (confsync.Verdict, error) {
	body, err := p.Encode()
	if err != nil {
		return confsync.Verdict{}, invalidError{err}
	}
	var errs []error
	uncertain := false
	for _, server := range c.servers {
		r, err := c.send(ctx, server, http.MethodPost, "/config/patches", body)
		verdict, err := readVerdict(r, err)
		if err == nil || errors.As(err, &refusedError{}) {
			return verdict, err
		}
		if errors.As(err, &invalidError{}) && !uncertain {
			return verdict, err
		}
		uncertain = uncertain || errors.As(err, &outcomeUnknownError{})
		errs = append(errs, fmt.Errorf("%s: %w", server, err))
	}
	err = errors.Join(errs...)
	if uncertain {
		return confsync.Verdict{}, outcomeUnknownError{id: p.ID, cause: err}
	}
	return confsync.Verdict{}, err
}

// readVerdict classifies a response as a verdict, not run, invalid or unknown.
// The outcome is unknown unless the response says "not run" or the connection
// failed before a byte was sent.
func readVerdict(r response, err error) (confsync.Verdict, error) {
	var verdict confsync.Verdict
	if err != nil && notSent(err) {
		return verdict, err
	}
	if err != nil {
		return verdict, outcomeUnknownError{cause: err}
	}
	if r.status == http.StatusOK {
		if err := json.Unmarshal(r.body, &verdict); err != nil || verdict.Result != confsync.Accepted {
			return verdict, outcomeUnknownError{cause: errors.New("the answer cannot be read")}
		}
		return verdict, nil
	}
	var refused operator.RefusedBody
	if json.Unmarshal(r.body, &refused) == nil && refused.Verdict.Result == confsync.Refused {
		return refused.Verdict, refusedError{refused.Verdict}
	}
	err = responseError(r)
	switch {
	case refused.Error.Outcome != apierror.NotRun:
		return verdict, outcomeUnknownError{cause: err}
	case refused.Error.Code == apierror.KindInvalidRequest || refused.Error.Code == apierror.KindTooLarge:
		return verdict, invalidError{err}
	}
	return verdict, err
}
