package runtime

import (
	"net/netip"
	"strconv"

	"vetchdoor/control"
	"vetchdoor/tenancy"
)

// Verb is what a change does.
type Verb byte

const (
	AddServer     Verb = iota + 1 // a line of a table, with all that is needed to send there
	SetWeight                     // the weight of a line that is there
	DelServer                     // a line goes
	SetState                      // a server out of all tables, or back in; Out
	ClearState                    // all servers back in
	SetMap                        // op types to a table
	ClearTable                    // all lines and levels of a table go
	SetLevel                      // how much of op types is let in, and how tries are repeated
	SetTenant                     // what a tenant may use: Rate, Tries, Fenced
	SetBinding                    // where a tenant is: Number, Seat, Held
	AdoptTable                    // a table begins as the one with Digest that an op type goes by
	ClearBindings                 // bindings of other pilots, and those up to Number, go
)

// Change is one line of a pilot's message.
type Change struct {
	Verb         Verb
	Table        control.TableID // control.Everywhere for all, with SetLevel
	Endpoint     control.EndpointID
	Server       Server // AddServer
	Weight       float64
	Drained      bool   // SetState
	OpTypes      uint16 // a bit for each; 0: all
	Level        float64
	RetryPolicy  control.RetryPolicy
	Tenant       string
	Rate         float64 // ops a second at this proxy; below 0: no limit
	RetriesPerOp float64 // beyond the first, for each op
	Fenced       bool    // to one pod of its subset alone
	Hand         float64 // ops in hand at this proxy at a time; below 0: no limit
	Room         float64 // times the pods that its subset has by itself
	Digest       uint64
	Number       uint64 // of a binding, among those of its pilot
	Seat         tenancy.Placement
	Held         bool // writes are refused with a time to come back
}

// Server is what a proxy must know of an endpoint to send ops there and to try them again safely.
type Server struct {
	Address netip.AddrPort
	Zone    int
	Pack    int
}

var agains = [...]string{control.Never: "never", control.IfUnrun: "if-unrun", control.RetryOnce: "once",
	control.TwiceMore: "twice"}

// LimitOf is the change that says a tenant's limit.
func LimitOf(l tenancy.Limit) Change {
	return Change{Verb: SetTenant, Tenant: l.Tenant, Rate: l.Rate, RetriesPerOp: l.Tries, Hand: l.Hand, Fenced: l.Fenced, Room: l.Room}
}

// Limit is what a SetTenant says.
func (c Change) Limit() tenancy.Limit {
	return tenancy.Limit{Tenant: c.Tenant, Rate: c.Rate, Tries: c.RetriesPerOp, Hand: c.Hand, Fenced: c.Fenced, Room: c.Room}
}

// Append appends the change as a line, without its end.
func (c Change) Append(b []byte) []byte {
	switch c.Verb {
	case AddServer:
		return c.appendAddServer(b)
	case SetWeight:
		return number(append(c.server(append(b, "set server "...)), " weight "...), c.Weight)
	case DelServer:
		return c.server(append(b, "del server "...))
	case SetState:
		return c.appendSetState(b)
	case ClearState:
		return append(b, "set server */* state ready"...)
	case SetMap:
		b = appendTypes(append(b, "set map op-types "...), c.OpTypes)
		return appendTable(append(b, ' '), c.Table)
	case ClearTable:
		return appendTable(append(b, "clear table "...), c.Table)
	case SetLevel:
		return c.appendSetLevel(b)
	case SetTenant:
		return c.appendSetTenant(b)
	case SetBinding:
		return c.appendSetBinding(b)
	case AdoptTable:
		b = appendTable(append(b, "adopt table "...), c.Table)
		return strconv.AppendUint(append(b, " digest "...), c.Digest, 16)
	case ClearBindings:
		return strconv.AppendUint(append(b, "clear bindings up-to "...), c.Number, 10)
	}
	return b
}

func (c Change) appendAddServer(b []byte) []byte {
	b = c.server(append(b, "add server "...))
	b = c.Server.Address.AppendTo(append(b, ' '))
	b = number(append(b, " weight "...), c.Weight)
	b = strconv.AppendInt(append(b, " zone "...), int64(c.Server.Zone), 10)
	return strconv.AppendInt(append(b, " pack "...), int64(c.Server.Pack), 10)
}

func (c Change) appendSetState(b []byte) []byte {
	b = strconv.AppendUint(append(b, "set server */e"...), uint64(c.Endpoint), 10)
	if c.Drained {
		return append(b, " state drain"...)
	}
	return append(b, " state ready"...)
}

func (c Change) appendSetLevel(b []byte) []byte {
	b = appendTable(append(b, "set level "...), c.Table)
	b = appendTypes(append(b, ' '), c.OpTypes)
	b = number(append(b, ' '), c.Level)
	return append(append(b, " again "...), agains[c.RetryPolicy]...)
}

func (c Change) appendSetTenant(b []byte) []byte {
	b = appendTenant(append(b, "set tenant "...), c.Tenant)
	b = appendLimit(append(b, " rate "...), c.Rate)
	b = number(append(b, " tries "...), c.RetriesPerOp)
	b = appendOnOff(append(b, " fence "...), c.Fenced)
	b = appendLimit(append(b, " hand "...), c.Hand)
	return number(append(b, " room "...), c.Room)
}

func (c Change) appendSetBinding(b []byte) []byte {
	b = appendTenant(append(b, "set binding "...), c.Tenant)
	b = strconv.AppendUint(append(b, " number "...), c.Number, 10)
	b = append(append(b, ' '), c.Seat.String()...)
	return appendOnOff(append(b, " hold "...), c.Held)
}

func (c Change) String() string { return string(c.Append(nil)) }

func (c Change) server(b []byte) []byte {
	return strconv.AppendUint(append(appendTable(b, c.Table), "/e"...), uint64(c.Endpoint), 10)
}

func number(b []byte, x float64) []byte { return strconv.AppendFloat(b, x, 'g', -1, 64) }

func appendTable(b []byte, t control.TableID) []byte {
	if t == control.Everywhere {
		return append(b, '*')
	}
	return strconv.AppendUint(append(b, 't'), uint64(t), 10)
}

// appendTenant appends a tenant's name, which a sign goes before, so that the name of nobody is a word too.
func appendTenant(b []byte, name string) []byte {
	return append(b, Quote("="+name)...)
}

// appendLimit appends a number; * for one below 0, which is no limit.
func appendLimit(b []byte, x float64) []byte {
	if x < 0 {
		return append(b, '*')
	}
	return number(b, x)
}

func appendOnOff(b []byte, on bool) []byte {
	if on {
		return append(b, "on"...)
	}
	return append(b, "off"...)
}

func appendTypes(b []byte, mask uint16) []byte {
	if mask == 0 {
		return append(b, '*')
	}
	comma := false
	for i := range 16 {
		if mask&(1<<i) != 0 {
			if comma {
				b = append(b, ',')
			}
			b, comma = strconv.AppendInt(b, int64(i), 10), true
		}
	}
	return b
}
