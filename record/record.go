// Package record defines the names in log records of decisions: the kinds, which are MSGIDs, and the parameters of the
// SD-ELEMENT "decision".
package record

// Kinds of records.
const (
	TableLine     = "line"       // a server was added to a table, its weight changed, or (weight 0) it was removed
	TableCleared  = "blank"      // all lines of a table were removed
	TableAssigned = "bind"       // a proxy was assigned to a table
	Level         = "level"      // the admitted share or rate of an op type changed
	Withdrawal    = "withdrawal" // a server was withdrawn from all tables, or may be used again
	Confirmation  = "in-force"   // how many proxies confirmed a checkpoint
	Restart       = "restart"    // a run of the pilot began, at its start or at a restart of the decision module
	Refusal       = "refusal"    // a proxy rejected a message, or the pilot refused a stream
	ProxyJoined   = "joined"     // a proxy joined
	ProxyLeft     = "left"
	TenantMove    = "move"  // the move of a tenant began or ended
	TenantLimit   = "limit" // the limits of a tenant changed
	ModuleNote    = "note"  // a message of the decision module
)

// The SD-ELEMENT of decisions and its parameters. Numbers are decimal; durations are in microseconds.
const (
	Element            = "decision"
	Pilot              = "pilot"
	Run                = "run"        // start time of the pilot's run, in microseconds since 1970; a later run has a higher value
	Sequence           = "seq"        // sequence number in the run, from 1 without gaps: a missing number was suppressed or lost
	At                 = "at"         // time since the pilot's start
	Node               = "node"       // server, as eN
	Proxy              = "proxy"      // proxy, as pN
	OpType             = "op-type"    // name of the op type; * for all
	Table              = "table"      // table, as tN; * for all
	Version            = "version"    // number of changes to the table in this run
	Checkpoint         = "checkpoint" // checkpoint number of the messages that carry the decision
	Reason             = "reason"
	Value              = "value" // the figure that crossed the threshold
	Threshold          = "limit"
	Weight             = "weight"
	Share              = "share"
	Withdrawn          = "out"
	Tenant             = "tenant"
	ProxiesSent        = "of"        // number of proxies that were sent a checkpoint
	ProxiesConfirmed   = "confirmed" // number of proxies that confirmed a checkpoint
	ProxiesUnconfirmed = "missing"   // the first few proxies that have not confirmed it
	Slowest            = "slowest"
	Text               = "text"
)
