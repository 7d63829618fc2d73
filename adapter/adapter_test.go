package adapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
)

func raw(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The records are the examples of the wire's description.
func TestEventsFromTheDescription(t *testing.T) {
	for _, c := range []struct {
		text string
		want control.Event
	}{
		{"19 2e000000 03000000 00 074a1203 0e000000 01000000 0000000000204840 0000000000408f40 03 52b81e3f0000e04000006841",
			control.EndpointStats{Endpoint: 0x03124a07, Tries: 14, Failed: 1, Latency: 48250 * time.Microsecond,
				Window: time.Second, Load: []float64{0.6200000047683716, 7, 14.5}}},
		{"12 08000000 03000000 4d000000", control.Ring{Label: 77}},
		{"17 06000000 05000000 2900", control.Left{Proxy: 41}},
		{"1c 07000000 03000000 7500 01", control.SliceHanded{Slice: 117, Given: true}},
		{"18 12000000 03000000 2900 0c000000 0000000000c87940",
			control.InForce{Proxy: 41, Checkpoint: 12, Took: 412500 * time.Microsecond}},
		{"16 0c000000 03000000 0000d040 00 2900 01", control.Joined{Proxy: 41, Rate: 6.5, Standing: true}},
		{"1b 18000000 03000000 17000000 02000000 0000 7500 0000000000408f40",
			control.SliceLoad{Slice: 117, Ops: 23, Unacked: 2, Window: time.Second}},
		{"1d 0e000000 03000000 7500 0000803f f211902c", control.SliceLine{Slice: 117, Endpoint: 0x2c9011f2, Weight: 1}},
		{"1a 18000000 03000000 2900 0000 09000000 00000000 0000000000409f40",
			control.Arrivals{Proxy: 41, Ops: 9, Window: 2 * time.Second}},
		{"14 0e000000 03000000 02000000 0400 68692037", control.PeerNote{From: 2, Data: []byte("hi 7")}},
		{"13 1f000000 03000000 f211902c c800 666666666666f63f 03 52b81e3f0000e04000006841",
			control.Probed{Endpoint: 0x2c9011f2, Took: 1400 * time.Microsecond,
				Load: []float64{0.6200000047683716, 7, 14.5}}},
	} {
		b := raw(t, c.text)
		f := &fields{left: b[recordHead:]}
		f.u32()
		got, err := readEvent(b[0], f)
		if err != nil || f.done(b[0]) != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, %v, want %+v", c.text, got, err, c.want)
		}
		for cut := recordHead; cut < len(b); cut++ {
			f := &fields{left: b[recordHead:cut]}
			f.u32()
			if _, err := readEvent(b[0], f); err == nil && f.done(b[0]) == nil {
				t.Errorf("%s: cut to %d bytes it still reads", c.text, cut)
			}
		}
	}
}

func TestOrdersFromTheDescription(t *testing.T) {
	for _, c := range []struct {
		order control.Order
		want  string
	}{
		{control.Blank{Table: 117}, "19 06000000 03000000 7500"},
		{control.Wake{After: 500 * time.Millisecond, Label: 77}, "16 10000000 03000000 0000000000407f40 4d000000"},
		{control.Publish{To: -1, Data: []byte("hi 7")}, "1a 0e000000 03000000 ffffffff 0400 68692037"},
		{control.FetchList{}, "13 04000000 03000000"},
		{control.Probe{Endpoint: 0x2c9011f2}, "1b 08000000 03000000 f211902c"},
		{control.SetLevel{Table: 117, OpTypes: 2, Level: 0.75, RetryPolicy: control.IfUnrun},
			"1c 0d000000 03000000 7500 0200 0000403f 01"},
		{control.Bind{Table: 117, Proxy: 41}, "12 0a000000 03000000 7500 2900 0000"},
		{control.PutLine{Table: 117, Endpoint: 0x2c9011f2, Weight: 0.75}, "10 0e000000 03000000 7500 f211902c 0000403f"},
		{control.Note{Text: "two servers known"}, "14 17000000 03000000 1100 74776f2073657276657273206b6e6f776e"},
		{control.Suspend{Endpoint: 0x2c9011f2, Out: true}, "15 09000000 03000000 01 f211902c"},
		{control.Checkpoint{Number: 12}, "11 09000000 03000000 0c000000 00"},
		{control.WatchList{On: true}, "18 05000000 03000000 01"},
	} {
		r := newReply(1)
		if err := r.write(3, c.order); err != nil {
			t.Fatal(err)
		}
		if got := r.frame()[replyHeader:]; !bytes.Equal(got, raw(t, c.want)) {
			t.Errorf("%+v: got %x, want %s", c.order, got, c.want)
		}
	}
}

func put(code byte, body ...any) []byte {
	var b bytes.Buffer
	for _, v := range body {
		_ = binary.Write(&b, binary.LittleEndian, v)
	}
	head := []byte{code, 0, 0, 0, 0}
	binary.LittleEndian.PutUint32(head[1:], uint32(b.Len()))
	return append(head, b.Bytes()...)
}

func frame(number uint32, clock float64, records ...[]byte) []byte {
	b := make([]byte, batchHeader)
	binary.LittleEndian.PutUint32(b, number)
	binary.LittleEndian.PutUint64(b[8:], math.Float64bits(clock))
	binary.LittleEndian.PutUint32(b[16:], uint32(len(records)))
	for _, r := range records {
		b = append(b, r...)
	}
	binary.LittleEndian.PutUint32(b[4:], uint32(len(b)-8))
	return b
}

const startSettings = `{"dcs":["a","b"],"grades":[{"effect":"strange","slo":500}],"extra":{"cycle":1000,"lines_per_s":1000,
	"most_waiting":2000,"envelope":3,"proxy_count":2,"unheard_of":[1]},"guarantees":{"cold":9000},"tick":5}`

func powerOn(who uint32) []byte {
	return put(evPowerOn, who, uint64(9), uint32(len(startSettings)), []byte(startSettings))
}

func list(number uint32, ids ...uint32) []byte {
	body := []any{number, uint32(len(ids))}
	for _, id := range ids {
		body = append(body, float32(1), uint8(2), float64(0), id, uint16(0), uint8(0), uint16(0))
	}
	return put(evDefineList, body...)
}

func update(who, number uint32) []byte {
	return put(evDirectoryUpdate, who, uint8(control.Cached), uint32(1), number)
}

// replies runs Serve and cuts what it wrote into the bodies of its frames.
func replies(t *testing.T, frames ...[]byte) ([][]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	var bodies [][]byte
	for b := out.Bytes(); len(b) > 0; {
		n := binary.LittleEndian.Uint32(b[4:])
		bodies = append(bodies, b[replyHeader:8+n])
		b = b[8+n:]
	}
	return bodies, err
}

func TestInstancesShareNothing(t *testing.T) {
	join := func(who uint32) []byte { return put(evAttached, who, float32(5), uint8(0), uint16(4), uint8(1)) }
	alone, err := replies(t, frame(1, 100, list(0, 7, 8), powerOn(5), update(5, 0)), frame(2, 200, join(5)))
	if err != nil {
		t.Fatal(err)
	}
	// The list's number is taken over within the batch: the first instance sees other endpoints than the second.
	both, err := replies(t, frame(1, 100, list(0, 1, 2), powerOn(6), update(6, 0), list(0, 7, 8), powerOn(5), update(5, 0)),
		frame(2, 200, join(5)))
	if err != nil {
		t.Fatal(err)
	}
	if len(alone[1]) == 0 || !bytes.Equal(alone[1], both[1]) {
		t.Fatalf("alone %x, in company %x", alone[1], both[1])
	}
	if !bytes.HasSuffix(both[0], alone[0]) {
		t.Fatal("the start differs in company")
	}
}

func TestAfterDeathNothingChanges(t *testing.T) {
	got, err := replies(t, frame(1, 100, list(0, 7), powerOn(5), update(5, 0)),
		frame(2, 200, put(evKilled, uint32(5)), put(evAttached, uint32(5), float32(5), uint8(0), uint16(4), uint8(1))),
		frame(3, 300, put(evRing, uint32(5), uint32(1)), update(9, 0)))
	if err != nil || len(got) != 3 || len(got[1])+len(got[2]) > 0 {
		t.Fatalf("%x, %v", got, err)
	}
}

func TestUnknownProxyAndEndpointChangeNothing(t *testing.T) {
	got, err := replies(t, frame(1, 100, list(0, 7), powerOn(5), update(5, 0)),
		frame(2, 200, put(evInForce, uint32(5), uint16(3), uint32(1), float64(1)), put(evDetached, uint32(5), uint16(3)),
			put(evArrivals, uint32(5), uint16(3), uint16(99), uint32(1), uint32(0), float64(1000)),
			put(evDigest, uint32(5), uint8(200), uint32(99), uint32(1), uint32(0), float64(1), float64(1000), uint8(0))))
	if err != nil || len(got[1]) > 0 {
		t.Fatalf("%x, %v", got, err)
	}
}

func TestMalformedInputEndsWithAMessage(t *testing.T) {
	whole := frame(1, 100, list(0, 7), powerOn(5), update(5, 0))
	bad := map[string][]byte{
		"unknown code":      frame(1, 1, put(99, uint32(1))),
		"undefined list":    frame(1, 1, powerOn(5), update(5, 3)),
		"list number":       frame(1, 1, list(16, 7)),
		"settings":          frame(1, 1, put(evPowerOn, uint32(1), uint64(1), uint32(1), []byte("{"))),
		"settings' length":  frame(1, 1, put(evPowerOn, uint32(1), uint64(1), uint32(1<<31), []byte("{}"))),
		"count of records":  append(frame(1, 1)[:16], 0xff, 0xff, 0xff, 0xff),
		"clock":             frame(1, math.NaN()),
		"length":            {1, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0},
		"bytes left over":   frame(1, 1, put(evRing, uint32(5), uint32(1), uint8(1))),
		"impossible length": {1, 0, 0, 0, 0xff, 0xff, 0xff, 0xff},
	}
	for name, b := range bad {
		if got, err := replies(t, b); err == nil || len(got) > 0 {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
	for cut := 1; cut < len(whole); cut++ {
		if _, err := replies(t, whole[:cut]); err == nil {
			t.Fatalf("cut to %d of %d bytes it still reads", cut, len(whole))
		}
	}
	if _, err := replies(t, whole); err != nil {
		t.Fatal(err)
	}
}

func TestPanicBecomesAFault(t *testing.T) {
	in := &instance{events: []control.Event{control.Ring{Label: 1}}} // no assigner: its call panics
	if orders, fault := in.decide(0); orders != nil || !strings.Contains(fault, "panic") {
		t.Fatalf("%v, %q", orders, fault)
	}
}
