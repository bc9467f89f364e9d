// Package resume encrypts the state that a VM needs to continue a response into a token for
// the caller, so that any VM can continue it after the first one failed.
package resume

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/apierror"
)

// KeyBytes is the length of the sealing key.
const KeyBytes = 32

// Token is the state of a request that the caller may resume.
type Token struct {
	Account    string    `msgpack:"a"`
	RequestID  string    `msgpack:"r"`
	Path       string    `msgpack:"p"`
	Model      string    `msgpack:"m"`
	Service    string    `msgpack:"s"`
	Target     string    `msgpack:"t"`
	Address    string    `msgpack:"d"`
	Attempt    string    `msgpack:"i"`
	PromptHash uint64    `msgpack:"h"`
	Deadline   time.Time `msgpack:"x"`
	MaxTokens  int       `msgpack:"n"`
}

// Sealer encrypts and authenticates tokens. All VMs share the key.
type Sealer struct {
	aead cipher.AEAD
}

// NewSealer returns a Sealer with the given key, which must have KeyBytes bytes.
func NewSealer(key []byte) (*Sealer, error) {
	if len(key) != KeyBytes {
		return nil, fmt.Errorf("resume key has %d bytes, allowed: %d", len(key), KeyBytes)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, err
	}
	return &Sealer{aead: aead}, nil
}

// NewKey returns a random key.
func NewKey() []byte {
	key := make([]byte, KeyBytes)
	rand.Read(key)
	return key
}

// Seal returns t encrypted, as a string that is valid in a header.
func (s *Sealer) Seal(t Token) (string, error) {
	plain, err := msgpack.Marshal(&t)
	if err != nil {
		return "", fmt.Errorf("encode resume token: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(s.aead.Seal(nil, nil, plain, nil)), nil
}

const maxTokenBytes = 4 << 10

var errInvalidToken = apierror.New(apierror.KindForbidden, apierror.NotRun,
	"the resume token is not valid for this account", "send the token of the answer, unchanged, with the same API key")

var errExpiredToken = apierror.New(apierror.KindDeadlineExceeded, apierror.Failed,
	"the deadline of the request has passed", "send the request again")

// Open decrypts and validates a token for an account. A forged token and one of another
// account return the same error.
func (s *Sealer) Open(text, account string, now time.Time) (Token, error) {
	var t Token
	if len(text) > maxTokenBytes {
		return t, errInvalidToken
	}
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return t, errInvalidToken
	}
	plain, err := s.aead.Open(nil, nil, sealed, nil)
	if err != nil {
		return t, errInvalidToken
	}
	if err := msgpack.Unmarshal(plain, &t); err != nil {
		return Token{}, errInvalidToken
	}
	if t.Account != account {
		return Token{}, errInvalidToken
	}
	if !now.Before(t.Deadline) {
		return Token{}, errExpiredToken
	}
	return t, nil
}
