// Package auth authenticates client accounts and operators by API keys, of which
// only hashes are stored.
package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// KeyHash returns the hexadecimal SHA-256 hash under which a key is declared.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Keys maps key hashes to their owners. It is immutable.
type Keys struct {
	owners map[string]string
}

// NewKeys returns the Keys for the hashes of each owner.
func NewKeys(hashes map[string][]string) *Keys {
	owners := map[string]string{}
	for owner, list := range hashes {
		for _, h := range list {
			owners[strings.ToLower(h)] = owner
		}
	}
	return &Keys{owners: owners}
}

// Owner returns the owner of the key in the request's Authorization header.
func (k *Keys) Owner(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return "", false
	}
	hash := KeyHash(key)
	owner, ok := k.owners[hash]
	if !ok {
		return "", false
	}
	// The map is indexed by a hash of the key, so the timing of the lookup reveals
	// nothing about declared keys.
	return owner, true
}
