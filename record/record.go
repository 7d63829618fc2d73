// Package record names what the programs write of their decisions and what readers look for: the kinds, which are MSGIDs, and
// the parameters of the SD-ELEMENT decision. docs/syslog.md tells what each means.
package record

// Kinds of records.
const (
	TableLine     = "line"       // a server's line put into a table or its weight changed; weight 0: taken out
	Blank         = "blank"      // a table emptied
	TableAssigned = "bind"       // a proxy put on a table
	Level         = "level"      // how much of an op type is let in
	Withdrawal    = "withdrawal" // a server out of all tables, or back in
	Confirmation  = "in-force"   // what the proxies said of a checkpoint
	Restart       = "restart"    // the module or the pilot began anew
	Refusal       = "refusal"    // a proxy did not take a message, or a stream was refused
	Joined        = "joined"     // a proxy
	Left          = "left"
	Move          = "move"  // a tenant's move began, or ended
	Limit         = "limit" // what a tenant may use
	Note          = "note"  // of the module
)

// The element that decisions are in, and its parameters. Numbers are decimal; spans in microseconds.
const (
	Element    = "decision"
	Pilot      = "pilot"
	Run        = "run"        // of the pilot; a later start has a higher one
	Sequence   = "seq"        // of the run's records, from 1, none left out: one that is not there was suppressed or lost
	At         = "at"         // since the pilot's start
	Node       = "node"       // eN
	Proxy      = "proxy"      // pN
	OpType     = "op-type"    // its name; * for all
	Table      = "table"      // tN; * for all
	Version    = "version"    // of the table: how often it changed in this run
	Checkpoint = "checkpoint" // of the messages that carry it
	Reason     = "reason"
	Value      = "value" // the figure that crossed the limit
	Past       = "limit"
	Weight     = "weight"
	Share      = "share"
	Withdrawn  = "out"
	Tenant     = "tenant"
	Of         = "of"        // proxies that were sent a checkpoint
	Confirmed  = "confirmed" // proxies that said it is in force
	Missing    = "missing"   // the first few that did not
	Slowest    = "slowest"
	Text       = "text"
)
