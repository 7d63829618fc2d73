package sign

import (
	"testing"

	"vetchdoor/http1"
)

// TestCheck guards against a server that does not detect that parts of two requests were mixed up.
func TestCheck(t *testing.T) {
	request := func(path, fields, body uint64, large bool) *http1.Message {
		b := http1.AppendRequest(nil, []byte("GET"), []byte(Path("/x", path)))
		b = http1.AppendField(b, "Host", "h")
		m, err := http1.NewRequestParser(http1.DefaultBounds).Parse(http1.AppendBody(AppendFields(b, fields, large), Body(body, large)), false)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	for _, large := range []bool{false, true} {
		if number, err := Check(request(12, 12, 12, large)); err != nil || string(number) != "12" {
			t.Errorf("%s, %v", number, err)
		}
		for _, bad := range [][3]uint64{{1, 12, 12}, {12, 1, 12}, {12, 12, 1}, {12, 12, 2}, {112, 12, 12}, {12, 12, 112}} {
			if _, err := Check(request(bad[0], bad[1], bad[2], large)); err == nil {
				t.Errorf("path, headers and body with the numbers %v were accepted as one request", bad)
			}
		}
	}
	if number, err := Check(&http1.Message{}); number != nil || err != nil {
		t.Errorf("request without a number: %s, %v", number, err)
	}
}
