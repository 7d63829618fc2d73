// Package sign marks test requests so that mixed-up requests and responses are detected: the path, the headers and the body
// of a request carry the same number, and the response returns it in the header Field. Check compares the three on the
// server side.
package sign

import (
	"bytes"
	"fmt"
	"strconv"

	"vetchdoor/http1"
)

// Field is the header that carries the number of a request; a response returns the number of the request that it answers.
const Field = "Lab-Sign"

// paddingField is the header that pads the head of a large request.
const paddingField = "Lab-Pad"

// Sizes of a large request in bytes. Head and body each exceed one netpoll read buffer.
const (
	LargeHead = 10 << 10
	LargeBody = 24 << 10
)

// signQuery is the query parameter that carries the number in a path.
const signQuery = "?sign="

// Path returns the path with the number appended as a query.
func Path(path string, number uint64) string {
	return path + signQuery + strconv.FormatUint(number, 10)
}

// AppendFields appends the header that carries the number and, for a large request, one that pads the head.
func AppendFields(b []byte, number uint64, large bool) []byte {
	b = http1.AppendField(b, Field, strconv.FormatUint(number, 10))
	if large {
		b = http1.AppendField(b, paddingField, repeatNumber(number, LargeHead))
	}
	return b
}

// Body returns a body that carries the number.
func Body(number uint64, large bool) []byte {
	if large {
		return repeatNumber(number, LargeBody)
	}
	return repeatNumber(number, 1)
}

// repeatNumber returns the number followed by a semicolon, repeated to at least size bytes.
func repeatNumber(number uint64, size int) []byte {
	one := append(strconv.AppendUint(nil, number, 10), ';')
	return bytes.Repeat(one, (size+len(one)-1)/len(one))
}

// Check returns the number of a request, or nil if it carries none. It returns an error that names the part that belongs to
// another request.
func Check(m *http1.Message) (number []byte, err error) {
	number = m.Get(Field)
	if number == nil {
		return nil, nil
	}
	if !bytes.HasSuffix(m.Target, append([]byte(signQuery), number...)) {
		return number, fmt.Errorf("request with the headers of %s has the path %.60q", number, m.Target)
	}
	one := append(bytes.Clone(number), ';')
	for what, text := range map[string][]byte{"body": m.Body, "padding": m.Get(paddingField)} {
		if len(text)%len(one) != 0 || bytes.Count(text, one)*len(one) != len(text) {
			return number, fmt.Errorf("request with the headers of %s has the %s of another: %.60q", number, what, text)
		}
	}
	return number, nil
}
