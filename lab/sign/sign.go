// Package sign marks the requests of the laboratory's clients, so that one that was mixed with another's is seen: its path, its
// fields and its body bear the same number. Check compares the three, as a server does; the answer returns the number in Field.
package sign

import (
	"bytes"
	"fmt"
	"strconv"

	"vetchdoor/http1"
)

// Field bears the number of a request, and in an answer that of the request that it answers.
const Field = "Lab-Sign"

// padField fills the head of a large request.
const padField = "Lab-Pad"

// Sizes of a large request, in bytes. Its head and its body each take more than one of the blocks in which netpoll reads.
const (
	LargeHead = 10 << 10
	LargeBody = 24 << 10
)

// query precedes the number in a path.
const query = "?sign="

// Path is a path with the number.
func Path(path string, number uint64) string { return path + query + strconv.FormatUint(number, 10) }

// AppendFields appends the field that bears the number, and one that fills a large head.
func AppendFields(b []byte, number uint64, large bool) []byte {
	b = http1.AppendField(b, Field, strconv.FormatUint(number, 10))
	if large {
		b = http1.AppendField(b, padField, repeated(number, LargeHead))
	}
	return b
}

// Body is a body that bears the number.
func Body(number uint64, large bool) []byte {
	if large {
		return repeated(number, LargeBody)
	}
	return repeated(number, 1)
}

// repeated is the number, with a mark behind it, again and again until there are so many bytes.
func repeated(number uint64, size int) []byte {
	one := append(strconv.AppendUint(nil, number, 10), ';')
	return bytes.Repeat(one, (size+len(one)-1)/len(one))
}

// Check returns the number of a request; nil if it bears none. The error says what of it is another's.
func Check(m *http1.Message) (number []byte, err error) {
	number = m.Get(Field)
	if number == nil {
		return nil, nil
	}
	if !bytes.HasSuffix(m.Target, append([]byte(query), number...)) {
		return number, fmt.Errorf("a request with the fields of %s has the path %.60q", number, m.Target)
	}
	one := append(bytes.Clone(number), ';')
	for what, text := range map[string][]byte{"body": m.Body, "padding": m.Get(padField)} {
		if len(text)%len(one) != 0 || bytes.Count(text, one)*len(one) != len(text) {
			return number, fmt.Errorf("a request with the fields of %s has another's %s: %.60q", number, what, text)
		}
	}
	return number, nil
}
