package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"parsleyscale/internal/failure/classifier"
)

func answerAll(q Request) Response {
	a := Response{Held: []int{1, 3}}
	for _, ask := range q.Asks {
		a.Grants = append(a.Grants, Grant{Count: ask.Count})
	}
	return a
}

// Guards against a holder that does not answer and keeps a client waiting, and against an unreadable answer that ends the process or
// counts as a grant.
func TestSendFails(t *testing.T) {
	release := make(chan struct{})
	silent := httptest.NewServer(Handler(func(q Request) Response { <-release; return answerAll(q) }))
	defer silent.Close()
	defer close(release)
	short := httptest.NewServer(Handler(func(Request) Response { return Response{} }))
	defer short.Close()
	q := Request{Asks: []Ask{{Team: "t", Count: 1}}}
	c := Client{HTTP: silent.Client()}
	for address, want := range map[string]classifier.Kind{
		silent.Listener.Addr().String(): classifier.NotReady, short.Listener.Addr().String(): classifier.BadMessage, "127.0.0.1:1": classifier.NotReady,
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if _, err := c.Send(ctx, address, q); !classifier.Is(err, want) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Errorf("%s: error %v, want kind %s before the context ends", address, err, want)
		}
		cancel()
	}
}

// FuzzRequest guards against a message of another VM that ends the process.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"asks":[{"team":"t","count":3}],"release":true}`))
	f.Add([]byte(`{"asks":[{"team":"t","count":-9223372036854775808}]}`))
	f.Add([]byte(`{"asks":null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		w := httptest.NewRecorder()
		Handler(answerAll).ServeHTTP(w, httptest.NewRequest("POST", Path, bytes.NewReader(b)))
		if w.Code != 200 && w.Code != 400 {
			t.Errorf("status %d", w.Code)
		}
	})
}

// BenchmarkSend measures the processor time of a request and its answer, at the requester and the holder together, over loopback.
func BenchmarkSend(b *testing.B) {
	for _, teams := range []int{1, 8, 75} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := httptest.NewServer(Handler(answerAll))
			defer s.Close()
			c := Client{HTTP: s.Client()}
			q := Request{}
			for k := range teams {
				q.Asks = append(q.Asks, Ask{Team: strings.Repeat("t", 8) + fmt.Sprint(k), Count: 1})
			}
			address := s.Listener.Addr().String()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Send(b.Context(), address, q); err != nil {
					b.Fatal(err)
				}
			}
			sent, _ := json.Marshal(q)
			received, _ := json.Marshal(answerAll(q))
			b.ReportMetric(float64(len(sent)), "request-bytes")
			b.ReportMetric(float64(len(received)), "answer-bytes")
		})
	}
}
