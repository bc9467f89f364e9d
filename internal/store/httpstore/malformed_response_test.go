package httpstore

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/rawserver"
	"github.com/oriolefront/oriolefront/internal/store"
)

// Guards against a response with a status that is none of a final response, and that is taken for a
// success: the client would rely on a write that did not happen, or use a response that is none.
func TestStatusOutOfRange(t *testing.T) {
	const rest = "\r\n\r\n{\"revision\":7}"
	for _, status := range []string{"000 No", "099 No", "101 Switching Protocols", "600 No"} {
		url := "http://" + rawserver.Start(t, rawserver.Text(fmt.Sprintf("HTTP/1.1 %s%s", status, rest)))
		client := New(Options{TableURL: url, ObjectsURL: url, CallTimeout: time.Second})
		_, err := client.Table().Commit(t.Context(), insert("k"))
		assert.Check(t, err != nil, "commit, status %s", status)
		assert.ErrorIs(t, client.Objects().Put(t.Context(), "o", []byte("x")), store.ErrUnknown, "put, status %s", status)
		_, err = client.Objects().Get(t.Context(), "o")
		assert.Check(t, err != nil, "get, status %s", status)
	}
}

// Guards against a response that is taken although its head is malformed.
func TestMalformedHeads(t *testing.T) {
	for name, response := range rawserver.MalformedHeads("", `{"revision":7,"rows":[{"key":"k","revision":3}]}`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := "http://" + rawserver.Start(t, rawserver.Text(response))
			client := New(Options{TableURL: url, ObjectsURL: url, CallTimeout: time.Second})
			_, err := client.Table().Commit(t.Context(), insert("k"))
			assert.Check(t, errors.Is(err, store.ErrUnknown), "commit: %v", err)
			_, err = client.Table().Get(t.Context(), "k")
			assert.Check(t, err != nil, "get")
			_, err = client.Objects().Get(t.Context(), "o")
			assert.Check(t, err != nil, "object")
		})
	}
}
