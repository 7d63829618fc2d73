package runtime

import (
	"net/netip"
	"strconv"

	"vetchdoor/control"
	"vetchdoor/tenancy"
)

// Verb is the kind of a Change. The comments of the verbs name the fields of Change that they use where that is not obvious.
type Verb byte

const (
	AddServer     Verb = iota + 1 // adds a server to a table, with all that a proxy needs to send ops to it
	SetWeight                     // sets the weight of a server that is in a table
	DelServer                     // removes a server from a table
	SetState                      // takes a server out of all tables if Drained is set, otherwise puts it back
	ClearState                    // puts all servers back that SetState has taken out
	SetMap                        // maps op types to a table
	ClearTable                    // removes all servers and levels of a table
	SetLevel                      // sets the level and the retry policy of op types
	SetTenant                     // sets the limit of a tenant: Rate, RetriesPerOp, Fenced, MaxInFlight, SubsetFactor
	SetBinding                    // binds a tenant to pods: Number, Placement, Held
	AdoptTable                    // makes a table a copy of the one with Digest that an op type is mapped to
	ClearBindings                 // removes the bindings of other pilots, and this pilot's bindings up to Number
)

// Change is one line of a pilot's message.
type Change struct {
	Verb         Verb
	Table        control.TableID // control.Everywhere stands for all tables in a SetLevel
	Endpoint     control.EndpointID
	Server       Server // the server that AddServer adds
	Weight       float64
	Drained      bool    // SetState takes the server out of all tables; false: puts it back
	OpTypes      uint16  // one bit for each op type; 0: all
	Level        float64 // share or rate of the op types that is admitted
	RetryPolicy  control.RetryPolicy
	Tenant       string
	Rate         float64 // ops per second at this proxy; negative: no limit
	RetriesPerOp float64 // budget of tries beyond the first, as an average per op
	Fenced       bool    // the tenant is restricted to one pod of its subset
	MaxInFlight  float64 // ops in progress at this proxy at a time; negative: no limit
	SubsetFactor float64 // factor on the number of pods in the tenant's subset; at least 1
	Digest       uint64  // of the table that AdoptTable copies
	Number       uint64  // sequence number of a binding, among those of its pilot
	Placement    tenancy.Placement
	Held         bool // writes are refused, with a time after which to retry
}

// Server is what a proxy needs in order to send ops to an endpoint and to retry them safely.
type Server struct {
	Address netip.AddrPort
	Zone    int
	Pack    int // group of servers within the zone
}

// retryNames are the names of the retry policies in the protocol.
var retryNames = [...]string{control.RetryNever: "never", control.RetryIfUnrun: "if-unrun", control.RetryOnce: "once",
	control.RetryTwice: "twice"}

// SetTenantChange returns the SetTenant change for a tenant's limit.
func SetTenantChange(l tenancy.Limit) Change {
	return Change{Verb: SetTenant, Tenant: l.Tenant, Rate: l.Rate, RetriesPerOp: l.Tries, MaxInFlight: l.Hand,
		Fenced: l.Fenced, SubsetFactor: l.Room}
}

// Limit returns the limit that a SetTenant sets.
func (c Change) Limit() tenancy.Limit {
	return tenancy.Limit{Tenant: c.Tenant, Rate: c.Rate, Tries: c.RetriesPerOp, Hand: c.MaxInFlight,
		Fenced: c.Fenced, Room: c.SubsetFactor}
}

// Append appends the change as a line, without a line feed.
func (c Change) Append(b []byte) []byte {
	switch c.Verb {
	case AddServer:
		return c.appendAddServer(b)
	case SetWeight:
		return appendFloat(append(c.appendServer(append(b, "set server "...)), " weight "...), c.Weight)
	case DelServer:
		return c.appendServer(append(b, "del server "...))
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
	b = c.appendServer(append(b, "add server "...))
	b = c.Server.Address.AppendTo(append(b, ' '))
	b = appendFloat(append(b, " weight "...), c.Weight)
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
	b = appendFloat(append(b, ' '), c.Level)
	return append(append(b, " again "...), retryNames[c.RetryPolicy]...)
}

func (c Change) appendSetTenant(b []byte) []byte {
	b = appendTenant(append(b, "set tenant "...), c.Tenant)
	b = appendLimit(append(b, " rate "...), c.Rate)
	b = appendFloat(append(b, " tries "...), c.RetriesPerOp)
	b = appendOnOff(append(b, " fence "...), c.Fenced)
	b = appendLimit(append(b, " hand "...), c.MaxInFlight)
	return appendFloat(append(b, " room "...), c.SubsetFactor)
}

func (c Change) appendSetBinding(b []byte) []byte {
	b = appendTenant(append(b, "set binding "...), c.Tenant)
	b = strconv.AppendUint(append(b, " number "...), c.Number, 10)
	b = append(append(b, ' '), c.Placement.String()...)
	return appendOnOff(append(b, " hold "...), c.Held)
}

func (c Change) String() string { return string(c.Append(nil)) }

// appendServer appends the table and the server, as TABLE/SERVER.
func (c Change) appendServer(b []byte) []byte {
	return strconv.AppendUint(append(appendTable(b, c.Table), "/e"...), uint64(c.Endpoint), 10)
}

// appendFloat appends a number in the shortest form that is read back exactly.
func appendFloat(b []byte, x float64) []byte { return strconv.AppendFloat(b, x, 'g', -1, 64) }

// appendTable appends a table as tN, or * for control.Everywhere.
func appendTable(b []byte, t control.TableID) []byte {
	if t == control.Everywhere {
		return append(b, '*')
	}
	return strconv.AppendUint(append(b, 't'), uint64(t), 10)
}

// appendTenant appends a tenant's name with an equals sign before it, so that an empty name is a word too.
func appendTenant(b []byte, name string) []byte {
	return append(b, Quote("="+name)...)
}

// appendLimit appends a limit; a negative number, which stands for no limit, is written as *.
func appendLimit(b []byte, x float64) []byte {
	if x < 0 {
		return append(b, '*')
	}
	return appendFloat(b, x)
}

func appendOnOff(b []byte, on bool) []byte {
	if on {
		return append(b, "on"...)
	}
	return append(b, "off"...)
}

// appendTypes appends the op types of a mask as N,N…; * for all, which is 0.
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
