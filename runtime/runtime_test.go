package runtime

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/tenancy"
)

// scan feeds a text to a scanner in pieces of size bytes and returns its requests: words joined by |, payload lines by /,
// commands by ;.
func scan(text string, size int, b Bounds) (out []string, err error) {
	s := NewScanner(b)
	for len(text) > 0 {
		n := min(size, len(text))
		s.Feed([]byte(text[:n]))
		text = text[n:]
		for {
			line, ok, err := s.Next()
			if err != nil {
				return out, err
			}
			if !ok {
				break
			}
			var cmds []string
			for _, c := range line {
				w := strings.Join(c.Words, "|")
				if c.HasPayload {
					w += "<" + strings.Join(c.Payload, "/") + ">"
				}
				cmds = append(cmds, w)
			}
			out = append(out, strings.Join(cmds, ";"))
		}
	}
	return out, nil
}

// The scanner must follow the grammar in HAProxy's management guide, whatever the pieces in which the bytes arrive.
func TestScanner(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"show info\n", "show|info"},
		{"show info;show stat \n\n help\r\n", "show|info;show|stat help"},
		{"set map a\\ b\\;c d\n", "set|map|a b;c|d"},
		{"add map x <<\nk1 v1\nk2 v2\n\nshow info\n", "add|map|x<k1 v1/k2 v2> show|info"},
		{"add map x <<END\nk\n\nEND\n", "add|map|x<k/>"},
		{"a;add map x <<\n\n", "a;add|map|x<>"},
		{"show info", ""},
		{"add map x <<\nk1 v1\n", ""},
		{";;;\n", ""},
		{"a \\<<x\n", "a|<<x"},
	} {
		for _, size := range []int{1, 3, 1000} {
			got, err := scan(c.in, size, SessionBounds)
			if err != nil || strings.Join(got, " ") != c.want {
				t.Errorf("%q in pieces of %d: %q, %v; want %q", c.in, size, got, err, c.want)
			}
		}
	}
}

// A request that exceeds its bounds is an error, after which the scanner accepts nothing more.
func TestBounds(t *testing.T) {
	b := Bounds{Line: 20, Words: 3, Commands: 2, Payload: 10}
	for _, in := range []string{strings.Repeat("a", 21), "a b c d\n", "a;b;c\n",
		"a <<\n" + strings.Repeat("k\n", 6), "a <<12345678\n"} {
		if got, err := scan(in, 4, b); err == nil {
			t.Errorf("%q was accepted: %q", in, got)
		}
	}
	s := NewScanner(b)
	s.Feed([]byte(strings.Repeat("a", 30) + "\nhelp\n"))
	if _, ok, err := s.Next(); ok || !errors.Is(err, ErrTooLong) {
		t.Fatal(ok, err)
	}
	s.Feed([]byte("help\n"))
	if _, ok, err := s.Next(); ok || err == nil {
		t.Fatal("a request was accepted after an error")
	}
}

// changes returns valid changes of every kind.
func changes() []Change {
	return []Change{
		{Verb: AddServer, Table: 3, Endpoint: 17, Weight: 1.5,
			Server: Server{Address: netip.MustParseAddrPort("127.0.0.1:8001"), Zone: 1, Pack: 4}},
		{Verb: AddServer, Table: 3, Endpoint: 18, Weight: 1e-3, Server: Server{Address: netip.MustParseAddrPort("[::1]:8001")}},
		{Verb: SetWeight, Table: 3, Endpoint: 17, Weight: 0.25},
		{Verb: DelServer, Table: 3, Endpoint: 4294967295},
		{Verb: SetState, Endpoint: 17, Drained: true},
		{Verb: SetState, Endpoint: 17},
		{Verb: ClearState},
		{Verb: SetMap, Table: 3, OpTypes: 0},
		{Verb: SetMap, Table: 65534, OpTypes: 1<<15 | 5},
		{Verb: ClearTable, Table: 0},
		{Verb: SetLevel, Table: control.Everywhere, OpTypes: 2, Level: 0.86, RetryPolicy: control.RetryIfUnrun},
		{Verb: SetLevel, Table: 9, Level: 0, RetryPolicy: control.RetryTwice},
		{Verb: SetTenant, Tenant: "a b;", Rate: -1, RetriesPerOp: 0.2, MaxInFlight: -1, SubsetFactor: 1},
		{Verb: SetTenant, Tenant: "", Rate: 0.5, Fenced: true, MaxInFlight: 2.5, SubsetFactor: 1.5},
		{Verb: SetBinding, Tenant: "a <<", Number: 1 << 63,
			Placement: tenancy.Placement{Draw: 3, Size: 2, Pods: []tenancy.PodID{1<<16 | 7, 9}}, Held: true},
		{Verb: SetBinding, Tenant: "", Number: 1},
		{Verb: ClearBindings, Number: 12},
		{Verb: AdoptTable, Table: 4, Digest: 1<<63 + 5},
	}
}

// A message that is written and parsed again must be unchanged.
func TestMessage(t *testing.T) {
	m := &Message{Pilot: "a b;c", Run: 1 << 60, Number: 7, CreatedAt: 1234567 * time.Microsecond, Lines: 12,
		Checkpoint: 65535, Changes: changes()}
	s := NewScanner(StreamBounds)
	s.Feed(m.Append(nil))
	line, ok, err := s.Next()
	if !ok || err != nil {
		t.Fatal(ok, err)
	}
	got, err := ParseMessage(line[0])
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("%+v, %v", got, err)
	}
}

// One invalid line makes the whole message invalid.
func TestBadChanges(t *testing.T) {
	for _, line := range []string{"add server t1/e1 127.0.0.1:80 weight 0 zone 0 pack 0",
		"add server t1/e1 127.0.0.1 weight 1 zone 0 pack 0",
		"add server t1/e1 127.0.0.1:0 weight 1 zone 0 pack 0", "add server t1/e1 127.0.0.1:80 weight NaN zone 0 pack 0",
		"add server t1/e1 127.0.0.1:80 weight 1 zone 256 pack 0", "add server t1 127.0.0.1:80 weight 1 zone 0 pack 0",
		"add server t65535/e1 127.0.0.1:80 weight 1 zone 0 pack 0", "set server t1/e1 weight -1", "set server t1/e1 weight 1 more",
		"set server t1/e1 weight +Inf", "set server */e1 state maint", "set server */* state drain", "set map op-types 16 t1",
		"set map op-types 0 *", "set level * 0 -1 again never", "set level * 0 1 again always", "set level * 0 1",
		"set tenant delo rate 1 tries 0 fence on", "set tenant =delo rate -1 tries 0 fence on",
		"set tenant =a rate 1 tries 0 fence maybe", "clear table *",
		"del server t1/e4294967296", "show info", "set server t1/e1 weight 1;del server t1/e1"} {
		c := Command{Words: strings.Fields("apply p 1 1 at 0 lines 2"), HasPayload: true,
			Payload: []string{"set server t1/e1 weight 2", line}}
		if m, err := ParseMessage(c); err == nil {
			t.Errorf("%q was accepted: %+v", line, m.Changes[1])
		}
	}
}

// Blocks that are written and parsed again must be unchanged; malformed and overlong blocks must be rejected.
func TestBlocks(t *testing.T) {
	hello := &Hello{Proxy: 9, Token: "x y", Zone: 2, Rate: 12.5, Pilot: "-", Window: 4096,
		Standing: []control.EndpointID{1, 4294967295}}
	sums := &Sums{Window: time.Second, Types: []TypeSum{{1, 20, 3}},
		Servers: []ServerSum{{7, 10, 1, 45 * time.Millisecond, []float64{0.5, 3}}, {8, 1, 1, 0, nil}},
		Tenants: []TenantSum{{"", 3, 4, 1, time.Second}, {"de lo", 1 << 31, 1, 0, 0}}}
	want := []any{hello, Confirmation{5, 6, 7, true}, Confirmation{5, 6, -1, false}, Refused{1, 2, "not this"}, sums}
	text := hello.Append(nil)
	text = want[1].(Confirmation).Append(text)
	text = want[2].(Confirmation).Append(text)
	text = want[3].(Refused).Append(text)
	text = sums.Append(text)
	r := NewBlockReader(1 << 16)
	var got []any
	for _, c := range text {
		r.Feed([]byte{c})
		lines, ok, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			b, err := ParseBlock(lines)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, b)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v", got)
	}
	for _, bad := range []string{"hello 70000 token x zone 0 rate 1 holds - 0 0 window 1 standing -",
		"hello 1", "sums x", "sums 1000\nserver 1 2",
		"sums 1000\ntype 0 -1 0", "hello 1 token t zone 0 rate 1e300 holds - 0 0 window 1 standing -", "sums 1000\nserver 1 2 3 4 NaN",
		"bye", "in-force 1 2 maybe", "in-force 1 2\nmore"} {
		if b, err := ParseBlock(strings.Split(bad, "\n")); err == nil {
			t.Errorf("%q was accepted: %+v", bad, b)
		}
	}
	r = NewBlockReader(10)
	r.Feed([]byte("aaaaaaaaaaaaaaaaaaaaa"))
	if _, _, err := r.Next(); err == nil {
		t.Error("a block over the limit was accepted")
	}
}

// FuzzScanner checks that no input makes the scanner panic, that its requests do not depend on the pieces in which the bytes
// arrive, and that a message that is parsed and written can be parsed again, with the same result.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("show info;set map a\\ b c\nadd map x <<\nk v\n\n"), 3)
	f.Add((&Message{Pilot: "p", Run: 1, Number: 1, Checkpoint: -1, Changes: changes()}).Append(nil), 7)
	f.Fuzz(func(t *testing.T, in []byte, size int) {
		if size < 1 || size > 64 {
			return
		}
		whole, err1 := scan(string(in), len(in)+1, SessionBounds)
		pieces, err2 := scan(string(in), size, SessionBounds)
		if (err1 == nil) != (err2 == nil) || fmt.Sprint(whole) != fmt.Sprint(pieces) {
			t.Fatalf("whole %q %v; in pieces %q %v", whole, err1, pieces, err2)
		}
		s := NewScanner(StreamBounds)
		s.Feed(in)
		for {
			line, ok, err := s.Next()
			if err != nil || !ok {
				return
			}
			m, err := ParseMessage(line[0])
			if err != nil {
				continue
			}
			s2 := NewScanner(StreamBounds)
			s2.Feed(m.Append(nil))
			line, ok, err = s2.Next()
			if !ok || err != nil {
				t.Fatalf("a written message cannot be parsed: %v", err)
			}
			again, err := ParseMessage(line[0])
			if err != nil || !reflect.DeepEqual(m, again) {
				t.Fatalf("%+v is parsed as %+v, %v after writing it", m, again, err)
			}
		}
	})
}

// FuzzBlock checks that no input makes ParseBlock panic.
func FuzzBlock(f *testing.F) {
	f.Add("sums 1000\ntype 0 1 2\nserver 1 2 3 4 0.5")
	f.Add("hello 1 token x zone 0 rate 1 holds - 0 0 window 1 standing 1,2")
	f.Fuzz(func(t *testing.T, in string) { _, _ = ParseBlock(strings.Split(in, "\n")) })
}
