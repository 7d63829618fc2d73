package runtime

import (
	"errors"
	"math"
	"strings"

	"vetchdoor/control"
)

// ErrNotAChange is returned by ParseChange for a command that is not a change; it may be an admin command.
var ErrNotAChange = errors.New("not a change")

// ParseChange parses the words of a command as a change.
func ParseChange(words []string) (c Change, err error) {
	w := &wordReader{words: words}
	if err := w.change(w.take()+" "+w.take(), &c); err != nil {
		return c, err
	}
	return c, w.end()
}

// change parses the words that follow the first two words of a change, which command holds.
func (w *wordReader) change(command string, c *Change) error {
	switch command {
	case "add server":
		w.addServer(c)
	case "set server":
		if len(w.words) > 0 && strings.HasPrefix(w.words[0], "*/") {
			w.setState(c)
		} else {
			w.setWeight(c)
		}
	case "del server":
		c.Verb = DelServer
		c.Table, c.Endpoint = w.server()
	case "set map":
		c.Verb = SetMap
		w.expect("op-types")
		c.OpTypes = w.opTypes()
		c.Table = w.table()
	case "clear table":
		c.Verb = ClearTable
		c.Table = w.table()
	case "set level":
		w.setLevel(c)
	case "set tenant":
		w.setTenant(c)
	case "set binding":
		w.setBinding(c)
	case "adopt table":
		c.Verb = AdoptTable
		c.Table = w.table()
		w.expect("digest")
		c.Digest = w.digest()
	case "clear bindings":
		c.Verb = ClearBindings
		w.expect("up-to")
		c.Number = w.uint("number", math.MaxUint64)
	default:
		return ErrNotAChange
	}
	return nil
}

func (w *wordReader) addServer(c *Change) {
	c.Verb = AddServer
	c.Table, c.Endpoint = w.server()
	c.Server.Address = w.address()
	c.Weight = w.weight()
	c.Server.Zone = w.zone()
	c.Server.Pack = w.pack()
}

func (w *wordReader) setWeight(c *Change) {
	c.Verb = SetWeight
	c.Table, c.Endpoint = w.server()
	c.Weight = w.weight()
}

// setState parses the rest of "set server */eN state STATE"; */* stands for all servers.
func (w *wordReader) setState(c *Change) {
	c.Verb = SetState
	name := strings.TrimPrefix(w.take(), "*/")
	if name == "*" {
		c.Verb = ClearState
	} else {
		c.Endpoint = w.parseEndpoint(name)
	}
	w.expect("state")
	switch state := w.take(); {
	case state == "ready":
	case state == "drain" && c.Verb == SetState:
		c.Drained = true
	default:
		w.fail("state %q is not drain or ready", state)
	}
}

func (w *wordReader) setLevel(c *Change) {
	c.Verb = SetLevel
	c.Table = w.tableOrEverywhere()
	c.OpTypes = w.opTypes()
	if c.Level = w.float("level"); c.Level < 0 {
		w.fail("level %v is below 0", c.Level)
	}
	w.expect("again")
	c.RetryPolicy = w.retryPolicy()
}

// retryPolicy reads the name of a retry policy.
func (w *wordReader) retryPolicy() control.RetryPolicy {
	word := w.take()
	for i, name := range retryNames {
		if word == name {
			return control.RetryPolicy(i)
		}
	}
	w.fail("%q is no way of trying again", word)
	return control.RetryNever
}

func (w *wordReader) setTenant(c *Change) {
	c.Verb = SetTenant
	c.Tenant = w.tenant()
	c.Rate = w.limit("rate")
	w.expect("tries")
	if c.RetriesPerOp = w.float("tries"); c.RetriesPerOp < 0 {
		w.fail("tries %v are below 0", c.RetriesPerOp)
	}
	c.Fenced = w.onOff("fence")
	c.MaxInFlight = w.limit("hand")
	w.expect("room")
	if c.SubsetFactor = w.float("room"); c.SubsetFactor < 1 || c.SubsetFactor > maxPods {
		w.fail("room %v is not from 1 to %d", c.SubsetFactor, maxPods)
	}
}

func (w *wordReader) setBinding(c *Change) {
	c.Verb = SetBinding
	c.Tenant = w.tenant()
	w.expect("number")
	c.Number = w.uint("number", math.MaxUint64)
	c.Placement = w.placement()
	c.Held = w.onOff("hold")
}
