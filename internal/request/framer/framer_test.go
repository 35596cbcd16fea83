package framer

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
	"testing/iotest"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/failure/classifier"
)

// messages returns encoded queries of the given sizes.
func messages(sizes ...int) []byte {
	var b []byte
	for i, n := range sizes {
		b, _ = (&pgproto3.Query{String: string(bytes.Repeat([]byte{byte('a' + i)}, n))}).Encode(b)
	}
	return b
}

// timeouts is a reader whose every other read finds its deadline expired.
type timeouts struct {
	r io.Reader
	n int
}

func (t *timeouts) Read(b []byte) (int, error) {
	t.n++
	if t.n%2 == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return t.r.Read(b)
}

// TestNext guards against messages that are cut or mixed when they arrive in
// pieces, cross the end of the buffer, or are larger than it.
func TestNext(t *testing.T) {
	sizes := []int{0, 10, bufferBytes - 20, 30, 5 * bufferBytes, 1, bufferBytes, 7}
	input := messages(sizes...)
	for name, src := range map[string]io.Reader{
		"whole":      bytes.NewReader(input),
		"half":       iotest.HalfReader(bytes.NewReader(input)),
		"one byte":   iotest.OneByteReader(bytes.NewReader(input)),
		"with error": iotest.DataErrReader(bytes.NewReader(input)),
		"timeouts":   &timeouts{r: iotest.HalfReader(bytes.NewReader(input))},
	} {
		r := NewReader(src, 1<<20)
		for i, n := range sizes {
			kind, body, err := r.Next()
			for errors.Is(err, os.ErrDeadlineExceeded) {
				kind, body, err = r.Next()
			}
			if err != nil || kind != 'Q' || len(body) != n+1 || n > 0 && body[n-1] != byte('a'+i) {
				t.Fatalf("%s: message %d: %q with %d bytes, %v", name, i, kind, len(body), err)
			}
			r.Release()
		}
		if _, _, err := r.Next(); !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: end: %v", name, err)
		}
	}
}

// TestRelease guards against an idle caller that keeps a buffer, and against a released buffer that had data.
func TestRelease(t *testing.T) {
	r := NewReader(iotest.OneByteReader(bytes.NewReader(messages(3, 3))), 100)
	for range 2 {
		r.Release()
		if r.buf != nil {
			t.Error("buffer is kept")
		}
		if err := r.Wait(); err != nil {
			t.Fatal(err)
		}
		r.Release()
		if _, body, err := r.Next(); err != nil || len(body) != 4 {
			t.Errorf("after wait: %q, %v", body, err)
		}
	}
}

// TestErrors guards against frames that make the reader allocate or return what was not sent.
func TestErrors(t *testing.T) {
	for _, c := range []struct {
		input string
		want  classifier.Kind
	}{
		{"Q\x00\x00\x00\x03", classifier.BadMessage},
		{"Q\xff\xff\xff\xff", classifier.BadMessage},
		{"Q\x00\x00\x01\x00", classifier.MessageTooLarge},
		{"Q\x7f\xff\xff\xff", classifier.MessageTooLarge},
	} {
		_, _, err := NewReader(bytes.NewReader([]byte(c.input)), 100).Next()
		if !classifier.Is(err, c.want) {
			t.Errorf("%q: %v", c.input, err)
		}
	}
	_, _, err := NewReader(bytes.NewReader([]byte("Q\x00\x00\x00\x08x")), 100).Next()
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut message: %v", err)
	}
	r := NewReader(bytes.NewReader([]byte("Q\x40\x00\x00\x00x")), 1<<31-1)
	r.Next()
	if len(r.buf) > 2*bufferBytes {
		t.Errorf("buffer of %d bytes for a claimed length", len(r.buf))
	}
}
