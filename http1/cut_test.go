package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// TestEveryCut guards against a head that is read from memory which by then holds something else: a message is cut at every
// place, and at every two, and handed over in fresh memory each time while the earlier memory is overwritten.
func TestEveryCut(t *testing.T) {
	for _, c := range []struct {
		name   string
		parser func(Bounds) *Parser
		in     string
		ended  bool
	}{
		{"request", NewRequestParser, "POST /p?q=1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer one\r\nContent-Length: 6\r\n\r\nabcdef", false},
		{"request without a body", NewRequestParser, "GET /p HTTP/1.1\r\nHost: a\r\nAccept: text/plain\r\n\r\n", false},
		{"chunked request", NewRequestParser, "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\nU: w\r\n\r\n", false},
		{"answer", Responses, "HTTP/1.1 200 Very good\r\nX-One: 1\r\nContent-Length: 5\r\n\r\nabcde", false},
		{"chunked answer", Responses, "HTTP/1.1 404 No\r\nX-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n", false},
		{"answer until the end", Responses, "HTTP/1.1 200 OK\r\nX-One: 1\r\n\r\nabcde", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			whole, err := c.parser(DefaultBounds).Parse([]byte(c.in), c.ended)
			if err != nil {
				t.Fatal(err)
			}
			want := describe(whole)
			for first := 1; first < len(c.in); first++ {
				for second := first; second < len(c.in); second++ {
					if got := parsePieces(t, c.parser(DefaultBounds), c.in, c.ended, first, second); got != want {
						t.Fatalf("cut at %d and %d:\n%s\nwant:\n%s", first, second, got, want)
					}
				}
			}
		})
	}
}

// parsePieces hands over what has come at each cut and then all, and overwrites what it handed over before.
func parsePieces(t *testing.T, p *Parser, in string, ended bool, cuts ...int) string {
	for _, cut := range cuts {
		b := []byte(in[:cut])
		if m, err := p.Parse(b, false); !errors.Is(err, ErrMore) {
			t.Fatalf("%q is no whole message: %v, %v", in[:cut], m, err)
		}
		overwrite(b)
	}
	m, err := p.Parse([]byte(in), ended)
	if err != nil {
		t.Fatal(err)
	}
	return describe(m)
}

// TestMessagesOfOneParser guards against memory of one message that shows in the next: several come through one parser.
func TestMessagesOfOneParser(t *testing.T) {
	p := NewRequestParser(DefaultBounds)
	for i, size := range []int{10, 20_000, 5, 100, 20_000, 0} {
		pad := strings.Repeat(string(rune('a'+i)), size)
		in := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\nX-Pad: %s\r\nContent-Length: 3\r\n\r\nabc", i, pad)
		if got := parsePieces(t, p, in, false, len(in)/2, len(in)-2); got != fmt.Sprintf("POST /%d 0  1 close=false size=%d\nHost: a\nX-Pad: %s\nContent-Length: 3\n\nabc", i, len(in), pad) {
			t.Errorf("message %d: %.200s", i, got)
		}
		p.Reset()
	}
}

func overwrite(b []byte) {
	for i := range b {
		b[i] = '#'
	}
}

func describe(m *Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s %d close=%t size=%d\n", m.Method, m.Target, m.Status, m.Reason, m.Minor, m.Close, m.Size)
	for _, f := range m.Fields {
		fmt.Fprintf(&b, "%s: %s\n", f.Name, f.Value)
	}
	fmt.Fprintf(&b, "\n%s", m.Body)
	return b.String()
}
