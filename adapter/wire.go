package adapter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"vetchdoor/control"
	"vetchdoor/settings"
)

// Codes of the events of the protocol.
const (
	eventPowerOn byte = iota + 16
	eventDirectoryUpdate
	eventRing
	eventProbed
	eventPeerData
	eventKilled
	eventAttached
	eventDetached
	eventInForce
	eventDigest
	eventArrivals
	eventSliceLoad
	eventHanded
	eventRecorded
	eventDefineList
)

// Codes of the actions of the protocol, which orders are encoded as.
const (
	actionPutLine byte = iota + 16
	actionCheckpoint
	actionBind
	actionListAll
	actionRecord
	actionSuspend
	actionWakeMe
	actionBailOut
	actionTail
	actionBlank
	actionPublish
	actionHealthCheck
	actionLevel
)

const (
	everyPeer    = math.MaxUint32 // receiver of a publish action that is for all peers; no instance has this id
	maxTextBytes = math.MaxUint16 // longer texts are truncated
	listSlots    = 16             // endpoint lists that can be defined at a time, numbered from 0
)

// milliseconds returns a duration in the protocol's unit of time.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// listEntry is one entry of an endpoint list in the protocol. Its start is a time on the clock of the bench, which
// entriesFor converts to the clock of an instance.
type listEntry struct {
	entry               control.Entry
	startedMilliseconds float64 // 0 or less: unknown
}

// readList decodes the fields of a define_list event.
func readList(f *fields) (number uint32, entries []listEntry, err error) {
	number = f.u32()
	n := f.u32()
	if f.truncated || uint64(n)*listEntryBytes != uint64(len(f.remaining)) {
		return 0, nil, fmt.Errorf("define_list: %d entries do not fill %d bytes", n, len(f.remaining))
	}
	if number >= listSlots {
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
		e.startedMilliseconds = f.f64()
		e.entry.Endpoint = control.EndpointID(f.u32())
		e.entry.Machine = int(f.u16())
		e.entry.Zone = int(f.u8())
		e.entry.Pack = int(f.u16())
	}
	return number, entries, nil
}

// outcomeByStatus maps the status code of a probe to its outcome.
var outcomeByStatus = map[uint16]control.ProbeOutcome{
	200: control.ProbeAnswered, 500: control.ProbeErrored, 503: control.ProbeRejected,
	504: control.ProbeTimedOut, 502: control.ProbeUnreached, 598: control.ProbeBroken,
}

// readEvent decodes the fields after the instance id of an event that needs no state of the host. It returns an error for
// an unknown code.
func readEvent(code byte, f *fields) (control.Event, error) {
	switch code {
	case eventRing:
		return control.TimerFired{Label: f.u32()}, nil
	case eventProbed:
		e := control.Probed{Endpoint: control.EndpointID(f.u32()), Outcome: control.ProbeOther}
		if o, ok := outcomeByStatus[f.u16()]; ok {
			e.Outcome = o
		}
		e.Took, e.Load = settings.Milliseconds(f.f64()), f.floats()
		return e, nil
	case eventPeerData:
		e := control.PeerNote{From: int(f.u32())}
		e.Data = f.bytes(uint32(f.u16()))
		return e, nil
	case eventAttached:
		e := control.Joined{Rate: f.f32(), Zone: int(f.u8())}
		e.Proxy, e.Standing = control.ProxyID(f.u16()), f.u8() != 0
		return e, nil
	case eventDetached:
		return control.Left{Proxy: control.ProxyID(f.u16())}, nil
	case eventInForce:
		return control.InForce{Proxy: control.ProxyID(f.u16()), Checkpoint: int(f.u32()), Took: settings.Milliseconds(f.f64())}, nil
	case eventDigest:
		e := control.EndpointStats{Zone: int(f.u8()), Endpoint: control.EndpointID(f.u32())}
		e.Tries, e.Failed = int(f.u32()), int(f.u32())
		e.Latency, e.Window, e.Load = settings.Milliseconds(f.f64()), settings.Milliseconds(f.f64()), f.floats()
		return e, nil
	case eventArrivals:
		e := control.Arrivals{Proxy: control.ProxyID(f.u16()), OpType: int(f.u16())}
		e.Ops, e.Unacked, e.Window = int(f.u32()), int(f.u32()), settings.Milliseconds(f.f64())
		return e, nil
	case eventSliceLoad:
		e := control.SliceLoad{Ops: int(f.u32()), Unacked: int(f.u32()), OpType: int(f.u16())}
		e.Slice, e.Window = control.TableID(f.u16()), settings.Milliseconds(f.f64())
		return e, nil
	case eventHanded:
		return control.SliceHanded{Slice: control.TableID(f.u16()), Given: f.u8() != 0}, nil
	case eventRecorded:
		e := control.SliceLine{Slice: control.TableID(f.u16()), Weight: f.f32()}
		e.Endpoint = control.EndpointID(f.u32())
		return e, nil
	}
	return nil, fmt.Errorf("unknown event code %d", code)
}

// appendFlag appends a byte that is 1 if on is set, else 0.
func appendFlag(b []byte, on bool) []byte {
	if on {
		return append(b, 1)
	}
	return append(b, 0)
}

// appendFloat32 appends a value as a 32-bit float.
func appendFloat32(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
}

// appendText appends a text after its length; a text longer than maxTextBytes is truncated.
func appendText(b []byte, data string) []byte {
	if len(data) > maxTextBytes {
		data = data[:maxTextBytes]
	}
	return append(binary.LittleEndian.AppendUint16(b, uint16(len(data))), data...)
}

// writeOrder encodes one order of an instance. It returns an error if the protocol has no action for it.
func (r *reply) writeOrder(instanceID uint32, o control.Order) error {
	le := binary.LittleEndian
	switch o := o.(type) {
	case control.PutLine:
		r.add(actionPutLine, instanceID, func(b []byte) []byte {
			b = le.AppendUint32(le.AppendUint16(b, uint16(o.Table)), uint32(o.Endpoint))
			return appendFloat32(b, o.Weight)
		})
	case control.ClearTable:
		r.add(actionBlank, instanceID, func(b []byte) []byte { return le.AppendUint16(b, uint16(o.Table)) })
	case control.Bind:
		r.add(actionBind, instanceID, func(b []byte) []byte {
			b = le.AppendUint16(le.AppendUint16(b, uint16(o.Table)), uint16(o.Proxy))
			return le.AppendUint16(b, o.OpTypes)
		})
	case control.SetLevel:
		r.add(actionLevel, instanceID, func(b []byte) []byte {
			b = le.AppendUint16(le.AppendUint16(b, uint16(o.Table)), o.OpTypes)
			return append(appendFloat32(b, o.Level), byte(o.RetryPolicy))
		})
	case control.Suspend:
		r.add(actionSuspend, instanceID, func(b []byte) []byte { return le.AppendUint32(appendFlag(b, o.Out), uint32(o.Endpoint)) })
	case control.Checkpoint:
		r.add(actionCheckpoint, instanceID, func(b []byte) []byte {
			return appendFlag(le.AppendUint32(b, uint32(o.Number)), o.All)
		})
	case control.SetTimer:
		r.add(actionWakeMe, instanceID, func(b []byte) []byte {
			return le.AppendUint32(le.AppendUint64(b, math.Float64bits(milliseconds(o.After))), o.Label)
		})
	case control.Probe:
		r.add(actionHealthCheck, instanceID, func(b []byte) []byte { return le.AppendUint32(b, uint32(o.Endpoint)) })
	case control.Publish:
		to := uint32(everyPeer)
		if o.To >= 0 {
			to = uint32(o.To)
		}
		r.add(actionPublish, instanceID, func(b []byte) []byte { return appendText(le.AppendUint32(b, to), string(o.Data)) })
	case control.FetchList:
		r.add(actionListAll, instanceID, nil)
	case control.WatchList:
		r.add(actionTail, instanceID, func(b []byte) []byte { return appendFlag(b, o.On) })
	case control.LogMessage:
		r.add(actionRecord, instanceID, func(b []byte) []byte { return appendText(b, o.Text) })
	default:
		return fmt.Errorf("no encoding for an order of type %T", o)
	}
	return nil
}

// bailOut encodes the message that an instance has failed.
func (r *reply) bailOut(instanceID uint32, message string) {
	r.add(actionBailOut, instanceID, func(b []byte) []byte { return appendText(b, message) })
}
