package tokenizer

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var key = []byte("key-of-the-tests-1")

func codec(t testing.TB, keys ...[]byte) *Codec {
	t.Helper()
	c, err := NewCodec(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestRoundTrip guards against a floor that changes on its way through the caller.
func TestRoundTrip(t *testing.T) {
	c := codec(t, key)
	rapid.Check(t, func(t *rapid.T) {
		var tok Token
		want := map[string]Position{}
		for range rapid.IntRange(0, 8).Draw(t, "floors") {
			db := rapid.StringMatching("[a-z-]{1,20}").Draw(t, "database")
			p := Position{rapid.Uint64().Draw(t, "term"), rapid.Uint64().Draw(t, "index")}
			tok = tok.With(db, p)
			want[db] = want[db].Max(p)
		}
		text, err := c.Encode(tok)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		for db, p := range want {
			if f, ok := got.Floor(db); !ok || f != p {
				t.Errorf("%s: floor %s, want %s", db, f, p)
			}
		}
	})
}

// TestDecode guards against a token that was forged, truncated or made with another key and is believed.
func TestDecode(t *testing.T) {
	good, err := codec(t, key).Encode(Token{}.With("orders", Position{3, 7}))
	if err != nil {
		t.Fatal(err)
	}
	other, err := codec(t, []byte("another-key-of-the-tests")).Encode(Token{}.With("orders", Position{9, 9}))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		text string
		want error
	}{
		"good":        {good, nil},
		"empty":       {"", nil},
		"truncated":   {good[:len(good)-3], ErrMAC},
		"short":       {good[:8], ErrEncoding},
		"flipped":     {good[:30] + "A" + good[31:], ErrMAC},
		"other key":   {other, ErrMAC},
		"no base64":   {"!!!" + good, ErrEncoding},
		"huge":        {strings.Repeat("A", maxTokenBytes+1), ErrTooLong},
		"mac of text": {good + "AAAA", ErrMAC},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := codec(t, key).Decode(k.text); !errors.Is(err, k.want) {
				t.Errorf("got %v, want %v", err, k.want)
			}
		})
	}
}

// TestRotation guards against sessions that end when a new key is added.
func TestRotation(t *testing.T) {
	text, err := codec(t, key).Encode(Token{}.With("orders", Position{1, 1}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := codec(t, []byte("new-key-of-the-tests"), key).Decode(text); err != nil {
		t.Error(err)
	}
}

// TestCovers guards against a comparison by index alone: the tail of a replaced primary has high indexes.
func TestCovers(t *testing.T) {
	cases := []struct {
		applied, floor Position
		want           bool
	}{
		{Position{2, 5}, Position{1, 900}, true},
		{Position{1, 900}, Position{2, 5}, false},
		{Position{2, 5}, Position{2, 5}, true},
		{Position{2, 4}, Position{2, 5}, false},
		{Position{}, Position{}, true},
	}
	for _, c := range cases {
		if got := c.applied.Covers(c.floor); got != c.want {
			t.Errorf("%s covers %s: %t", c.applied, c.floor, got)
		}
	}
}

// FuzzDecode guards against a panic on any text, and against a forged token.
func FuzzDecode(f *testing.F) {
	c := codec(f, key)
	good, _ := c.Encode(Token{}.With("orders", Position{3, 7}))
	f.Add(good)
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		tok, err := c.Decode(text)
		if err == nil && !tok.IsEmpty() && strings.TrimRight(text, "\r\n") != good {
			// The decoder ignores line ends inside the text; anything else must have the signature.
			if again, _ := c.Encode(tok); again != good {
				t.Errorf("%q was accepted", text)
			}
		}
	})
}

// FuzzParsePosition guards against a position that is read as another one.
func FuzzParsePosition(f *testing.F) {
	f.Add("3/7")
	f.Add("/")
	f.Fuzz(func(t *testing.T, s string) {
		p, err := ParsePosition(s)
		if err != nil {
			return
		}
		if q, err := ParsePosition(p.String()); err != nil || q != p {
			t.Errorf("%q: %v, %v", s, q, err)
		}
	})
}
