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

// maxTokenBytes bounds the text of a token, so that a caller cannot make a VM parse large input.
const maxTokenBytes = 4096

// macBytes is the length of the truncated HMAC-SHA-256 at the head of a token.
const macBytes = 16

// Errors of Decode. The caller gets the same answer for each of them.
var (
	ErrTooLong  = errors.New("token is longer than 4096 bytes")
	ErrEncoding = errors.New("token is not valid base64url")
	ErrMAC      = errors.New("token signature does not match")
	ErrContent  = errors.New("token content cannot be read")
)

// Token is an immutable set of floors, one for each database.
type Token struct {
	floors map[string]Position
}

// Floor returns the floor of a database; ok is false when the token has none.
func (t Token) Floor(database string) (p Position, ok bool) {
	p, ok = t.floors[database]
	return p, ok
}

// With returns a token whose floor for database is raised to p. Floors never fall.
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

// Merge returns a token that holds the higher floor of t and u for every database.
func (t Token) Merge(u Token) Token {
	for database, p := range u.floors {
		t = t.With(database, p)
	}
	return t
}

// IsEmpty reports whether the token has no floor.
func (t Token) IsEmpty() bool { return len(t.floors) == 0 }

// Codec signs and verifies tokens.
type Codec struct {
	keys [][]byte
}

// NewCodec returns a codec that signs with the first key and accepts any of them, so that keys can be rotated.
func NewCodec(keys ...[]byte) (*Codec, error) {
	if len(keys) == 0 {
		return nil, errors.New("token codec needs a key")
	}
	for i, k := range keys {
		if len(k) < 16 {
			return nil, fmt.Errorf("token key %d is shorter than 16 bytes", i)
		}
	}
	return &Codec{keys: keys}, nil
}

// Encode returns the signed text of t.
func (c *Codec) Encode(t Token) (string, error) {
	body, err := json.Marshal(t.floors)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	text := base64.RawURLEncoding.EncodeToString(append(sign(c.keys[0], body), body...))
	if len(text) > maxTokenBytes {
		return "", ErrTooLong
	}
	return text, nil
}

// Decode verifies and reads a token. The empty text is the empty token.
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
	mac, body := raw[:macBytes], raw[macBytes:]
	if !c.verify(mac, body) {
		return Token{}, ErrMAC
	}
	var floors map[string]Position
	if err := json.Unmarshal(body, &floors); err != nil {
		return Token{}, ErrContent
	}
	return Token{floors: floors}, nil
}

func (c *Codec) verify(mac, body []byte) bool {
	for _, k := range c.keys {
		if hmac.Equal(mac, sign(k, body)) {
			return true
		}
	}
	return false
}

func sign(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
