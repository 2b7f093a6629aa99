package handler

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"damaskpick.example/damaskpick/internal/settings/loader"
)

// credentials is an index of the configured credentials by the hash of their bearer token.
type credentials struct {
	// buckets groups the credentials by the first two bytes of their hash, so that the lookup time among thousands does not grow
	// with their number. Within a bucket, the whole hash is compared in constant time.
	buckets map[[2]byte][]credential
}

type credential struct {
	loader.Credential
	hash [sha256.Size]byte
}

func newCredentials(list []loader.Credential) (credentials, error) {
	index := credentials{buckets: map[[2]byte][]credential{}}
	var findings []error
	for i, c := range list {
		raw, err := hex.DecodeString(c.SHA256)
		if err != nil || len(raw) != sha256.Size {
			findings = append(findings, fmt.Errorf("credential %d: SHA256 is not a hexadecimal SHA-256 hash", i))
			continue
		}
		entry := credential{Credential: c, hash: [sha256.Size]byte(raw)}
		key := [2]byte(raw)
		index.buckets[key] = append(index.buckets[key], entry)
	}
	return index, errors.Join(findings...)
}

// find returns the credential of the request's bearer token.
func (c credentials) find(r *http.Request) (loader.Credential, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if token == "" || !strings.EqualFold(scheme, "Bearer") {
		return loader.Credential{}, refusal(CodeUnauthorized, "a bearer credential is required")
	}
	hash := sha256.Sum256([]byte(token))
	for _, entry := range c.buckets[[2]byte(hash[:2])] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			return entry.Credential, nil
		}
	}
	return loader.Credential{}, refusal(CodeUnauthorized, "unknown credential")
}

// Operator returns the operator that a request's credential belongs to, or false if there is none.
func (h *Handler) Operator(r *http.Request) (string, bool) {
	credential, err := h.credentials.find(r)
	return credential.Operator, err == nil && credential.Operator != ""
}
