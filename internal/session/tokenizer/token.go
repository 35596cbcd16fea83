package tokenizer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
)

// maxTokenBytes limits the encoded size of a token, so that a client cannot make a VM parse large input.
const maxTokenBytes = 4096

// macBytes is the size of the truncated HMAC-SHA-256 at the start of a decoded token.
const macBytes = 16

// minKeyBytes is the minimum length of a signing key.
const minKeyBytes = 16

// The errors of Decode; Encode also returns ErrTooLong. The client of the database
// gets the same answer for each of them.
var (
	ErrTooLong  = errors.New("token is longer than 4096 bytes")
	ErrEncoding = errors.New("token is not valid base64url")
	ErrMAC      = errors.New("token signature does not match")
	ErrPayload  = errors.New("token content cannot be decoded from JSON")
)

// Token is an immutable set of floors, one for each database.
type Token struct {
	floors map[string]Position
}

// Floor returns the floor of a database. ok is false if the token has none.
func (t Token) Floor(database string) (p Position, ok bool) {
	p, ok = t.floors[database]
	return p, ok
}

// With returns a token whose floor for database is at least p. It never lowers a floor.
func (t Token) With(database string, p Position) Token {
	old, ok := t.floors[database]
	if ok && old.Covers(p) {
		return t
	}
	floors := maps.Clone(t.floors)
	if floors == nil {
		floors = make(map[string]Position, 1)
	}
	floors[database] = p
	return Token{floors: floors}
}

// Merge returns a token with the higher of the floors of t and u for each database.
func (t Token) Merge(u Token) Token {
	for database, p := range u.floors {
		t = t.With(database, p)
	}
	return t
}

// IsEmpty reports whether the token has no floor.
func (t Token) IsEmpty() bool { return len(t.floors) == 0 }

// Codec encodes and signs tokens, and verifies and decodes them.
type Codec struct {
	keys [][]byte
}

// NewCodec returns a Codec that signs with the first key and accepts signatures of any
// of the keys, so that keys can be rotated.
func NewCodec(keys ...[]byte) (*Codec, error) {
	if len(keys) == 0 {
		return nil, errors.New("token codec: no key given")
	}
	for i, k := range keys {
		if len(k) < minKeyBytes {
			return nil, fmt.Errorf("token key %d has %d bytes, want at least %d", i, len(k), minKeyBytes)
		}
	}
	return &Codec{keys: keys}, nil
}

// Encode returns t as signed text.
func (c *Codec) Encode(t Token) (string, error) {
	payload, err := json.Marshal(t.floors)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	text := base64.RawURLEncoding.EncodeToString(append(sign(c.keys[0], payload), payload...))
	if len(text) > maxTokenBytes {
		return "", ErrTooLong
	}
	return text, nil
}

// Decode verifies and decodes a token. An empty text stands for an empty token.
func (c *Codec) Decode(text string) (Token, error) {
	if text == "" {
		return Token{}, nil
	}
	if len(text) > maxTokenBytes {
		return Token{}, ErrTooLong
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < macBytes {
		return Token{}, ErrEncoding
	}
	mac, payload := raw[:macBytes], raw[macBytes:]
	if !c.verify(mac, payload) {
		return Token{}, ErrMAC
	}
	var floors map[string]Position
	if err := json.Unmarshal(payload, &floors); err != nil {
		return Token{}, ErrPayload
	}
	return Token{floors: floors}, nil
}

// verify reports whether mac is the signature of the payload with any of the keys.
func (c *Codec) verify(mac, payload []byte) bool {
	for _, k := range c.keys {
		if hmac.Equal(mac, sign(k, payload)) {
			return true
		}
	}
	return false
}

// sign returns the truncated HMAC-SHA-256 of the payload.
func sign(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}
