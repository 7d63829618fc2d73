package adapter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"vetchdoor/control"
	"vetchdoor/settings"
)

// Codes of the events.
const (
	evPowerOn byte = iota + 16
	evDirectoryUpdate
	evRing
	evProbed
	evPeerData
	evKilled
	evAttached
	evDetached
	evInForce
	evDigest
	evArrivals
	evSliceLoad
	evHanded
	evRecorded
	evDefineList
)

// Codes of the actions.
const (
	acPutLine byte = iota + 16
	acCheckpoint
	acBind
	acListAll
	acRecord
	acSuspend
	acWakeMe
	acBailOut
	acTail
	acBlank
	acPublish
	acHealthCheck
	acLevel
)

const (
	everyPeer = math.MaxUint32
	mostText  = math.MaxUint16
	lists     = 16
)

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// listEntry is one entry as the wire has it: its start is a clock time, which each instance reads from its own
// start on.
type listEntry struct {
	entry   control.Entry
	started float64
}

func readList(f *fields) (number uint32, entries []listEntry, err error) {
	number = f.u32()
	n := f.u32()
	if f.bad || uint64(n)*entrySize != uint64(len(f.left)) {
		return 0, nil, fmt.Errorf("define_list: %d entries do not fill %d bytes", n, len(f.left))
	}
	if number >= lists {
		return 0, nil, fmt.Errorf("define_list: no such list number: %d", number)
	}
	entries = make([]listEntry, n)
	for i := range entries {
		e := &entries[i]
		e.entry.Weight = f.f32()
		mode := f.u8()
		if mode > byte(control.Ready) {
			return 0, nil, fmt.Errorf("define_list: unknown mode %d", mode)
		}
		e.entry.Mode = control.Mode(mode)
		e.started = f.f64()
		e.entry.Endpoint = control.EndpointID(f.u32())
		e.entry.Machine = int(f.u16())
		e.entry.Zone = int(f.u8())
		e.entry.Pack = int(f.u16())
	}
	return number, entries, nil
}

var outcomes = map[uint16]control.ProbeOutcome{
	200: control.ProbeAnswered, 500: control.ProbeErrored, 503: control.ProbeRejected,
	504: control.ProbeTimedOut, 502: control.ProbeUnreached, 598: control.ProbeBroken,
}

// readEvent reads the fields after `who` of the events that are plain data.
func readEvent(code byte, f *fields) (control.Event, error) {
	switch code {
	case evRing:
		return control.Ring{Label: f.u32()}, nil
	case evProbed:
		e := control.Probed{Endpoint: control.EndpointID(f.u32()), Outcome: control.ProbeOther}
		if o, ok := outcomes[f.u16()]; ok {
			e.Outcome = o
		}
		e.Took, e.Load = settings.Milliseconds(f.f64()), f.floats()
		return e, nil
	case evPeerData:
		e := control.PeerNote{From: int(f.u32())}
		e.Data = f.bytes(uint32(f.u16()))
		return e, nil
	case evAttached:
		e := control.Joined{Rate: f.f32(), Zone: int(f.u8())}
		e.Proxy, e.Standing = control.ProxyID(f.u16()), f.u8() != 0
		return e, nil
	case evDetached:
		return control.Left{Proxy: control.ProxyID(f.u16())}, nil
	case evInForce:
		return control.InForce{Proxy: control.ProxyID(f.u16()), Checkpoint: int(f.u32()), Took: settings.Milliseconds(f.f64())}, nil
	case evDigest:
		e := control.EndpointStats{Zone: int(f.u8()), Endpoint: control.EndpointID(f.u32())}
		e.Tries, e.Failed = int(f.u32()), int(f.u32())
		e.Latency, e.Window, e.Load = settings.Milliseconds(f.f64()), settings.Milliseconds(f.f64()), f.floats()
		return e, nil
	case evArrivals:
		e := control.Arrivals{Proxy: control.ProxyID(f.u16()), OpType: int(f.u16())}
		e.Ops, e.Unacked, e.Window = int(f.u32()), int(f.u32()), settings.Milliseconds(f.f64())
		return e, nil
	case evSliceLoad:
		e := control.SliceLoad{Ops: int(f.u32()), Unacked: int(f.u32()), OpType: int(f.u16())}
		e.Slice, e.Window = control.TableID(f.u16()), settings.Milliseconds(f.f64())
		return e, nil
	case evHanded:
		return control.SliceHanded{Slice: control.TableID(f.u16()), Given: f.u8() != 0}, nil
	case evRecorded:
		e := control.SliceLine{Slice: control.TableID(f.u16()), Weight: f.f32()}
		e.Endpoint = control.EndpointID(f.u32())
		return e, nil
	}
	return nil, fmt.Errorf("unknown event code %d", code)
}

func flag(b []byte, on bool) []byte {
	if on {
		return append(b, 1)
	}
	return append(b, 0)
}

func number32(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
}

func text(b []byte, data string) []byte {
	if len(data) > mostText {
		data = data[:mostText]
	}
	return append(binary.LittleEndian.AppendUint16(b, uint16(len(data))), data...)
}

// write puts one order on the wire.
func (r *reply) write(who uint32, o control.Order) error {
	le := binary.LittleEndian
	switch o := o.(type) {
	case control.PutLine:
		r.add(acPutLine, who, func(b []byte) []byte {
			b = le.AppendUint32(le.AppendUint16(b, uint16(o.Table)), uint32(o.Endpoint))
			return number32(b, o.Weight)
		})
	case control.Blank:
		r.add(acBlank, who, func(b []byte) []byte { return le.AppendUint16(b, uint16(o.Table)) })
	case control.Bind:
		r.add(acBind, who, func(b []byte) []byte {
			b = le.AppendUint16(le.AppendUint16(b, uint16(o.Table)), uint16(o.Proxy))
			return le.AppendUint16(b, o.OpTypes)
		})
	case control.SetLevel:
		r.add(acLevel, who, func(b []byte) []byte {
			b = le.AppendUint16(le.AppendUint16(b, uint16(o.Table)), o.OpTypes)
			return append(number32(b, o.Level), byte(o.RetryPolicy))
		})
	case control.Suspend:
		r.add(acSuspend, who, func(b []byte) []byte { return le.AppendUint32(flag(b, o.Out), uint32(o.Endpoint)) })
	case control.Checkpoint:
		r.add(acCheckpoint, who, func(b []byte) []byte {
			return flag(le.AppendUint32(b, uint32(o.Number)), o.All)
		})
	case control.Wake:
		r.add(acWakeMe, who, func(b []byte) []byte {
			return le.AppendUint32(le.AppendUint64(b, math.Float64bits(millis(o.After))), o.Label)
		})
	case control.Probe:
		r.add(acHealthCheck, who, func(b []byte) []byte { return le.AppendUint32(b, uint32(o.Endpoint)) })
	case control.Publish:
		to := uint32(everyPeer)
		if o.To >= 0 {
			to = uint32(o.To)
		}
		r.add(acPublish, who, func(b []byte) []byte { return text(le.AppendUint32(b, to), string(o.Data)) })
	case control.FetchList:
		r.add(acListAll, who, nil)
	case control.WatchList:
		r.add(acTail, who, func(b []byte) []byte { return flag(b, o.On) })
	case control.Note:
		r.add(acRecord, who, func(b []byte) []byte { return text(b, o.Text) })
	default:
		return fmt.Errorf("no wire form for an order of type %T", o)
	}
	return nil
}

func (r *reply) bailOut(who uint32, why string) {
	r.add(acBailOut, who, func(b []byte) []byte { return text(b, why) })
}
