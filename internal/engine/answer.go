package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxAnswerBytes bounds an answer in JSON. Inventories and batches of cache events of an engine
// are far smaller.
const maxAnswerBytes = 8 << 20

// answer is a message in JSON from an engine.
type answer interface {
	// validate returns an error if no engine can have sent the message.
	validate() error
}

// Errors of answers that no engine can have sent.
var (
	errNoStartNumber  = errors.New("no start number")
	errNegativeNumber = errors.New("negative number")
	errNoName         = errors.New("an attempt without id or an export without handle")
)

// AnswerError reports that an engine has answered a call with something else than what the call
// asks for. So the engine is running.
type AnswerError struct{ Cause error }

// Error implements error.
func (e *AnswerError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }

// decodeAnswer decodes a body that consists of one answer. Its error is an AnswerError unless the
// body could not be read.
func decodeAnswer(body io.Reader, out answer) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return err
	}
	if err := decode(data, out); err != nil {
		return &AnswerError{err}
	}
	return nil
}

func decode(data []byte, out answer) error {
	if len(data) > maxAnswerBytes {
		return fmt.Errorf("more than %d bytes", maxAnswerBytes)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return err
	}
	return out.validate()
}

func (l *Load) validate() error {
	if l.StartNumber == 0 {
		return errNoStartNumber
	}
	return notNegative(l.Running, l.PrefillBacklog, l.KVUsed, l.KVTokens)
}

func (i *Inventory) validate() error {
	if i.StartNumber == 0 {
		return errNoStartNumber
	}
	for _, a := range i.Attempts {
		if a.ID == "" {
			return errNoName
		}
		if err := notNegative(a.KVTokens); err != nil {
			return err
		}
	}
	for _, x := range i.Exports {
		if err := x.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (x *Export) validate() error {
	if x.Handle == "" {
		return errNoName
	}
	return notNegative(x.KVTokens)
}

func (e *CacheEvents) validate() error {
	if e.StartNumber == 0 {
		return errNoStartNumber
	}
	return nil
}

func notNegative(numbers ...int) error {
	for _, n := range numbers {
		if n < 0 {
			return errNegativeNumber
		}
	}
	return nil
}
