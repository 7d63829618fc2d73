package pilot

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"vetchdoor/members"
	"vetchdoor/runtime"
	sessions "vetchdoor/session"
)

// startMembers starts the gossip with other pilots, if it is configured. Gossip only feeds the admin commands; nothing from it
// becomes an event for the module.
func (p *Pilot) startMembers() error {
	f := p.file.Members
	if f == nil {
		return nil
	}
	keys, err := readKeys(f.KeyFile)
	if err != nil {
		return err
	}
	p.updateAdvertised()
	p.members, err = members.Start(members.Config{Name: p.file.Name, Bind: f.Bind, Peers: f.SeedAddresses, Keys: keys, Allow: f.AllowedNetworks,
		Log: p.log, Status: func() members.PilotStatus { return *p.advertised.Load() }})
	return err
}

// readKeys reads gossip keys from a file, one per line; empty lines and lines that start with # are skipped. The first key is
// the one used to encrypt. It returns an error if there is no key.
func readKeys(path string) (out []string, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		if line := strings.TrimSpace(in.Text()); line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s contains no key; expected one key per line, 32 bytes in base64", path)
	}
	return out, nil
}

// updateAdvertised updates the data that is gossiped to the other pilots. It must be called on the loop, or before the loop
// runs.
func (p *Pilot) updateAdvertised() {
	w := members.PilotStatus{Pilot: p.file.Name, Zone: p.file.Zone, Run: p.run, ListVersion: p.listVersion, ListSource: p.listOrigin,
		Servers: len(p.list), Proxies: len(p.sessions),
		Wire: runtime.WireVersion, ListenAddress: p.file.Listen}
	if p.ln != nil {
		w.ListenAddress = p.ln.Address()
	}
	p.advertised.Store(&w)
}

// errGossipDisabled is the reply to commands about the fleet if the pilot does not gossip.
var errGossipDisabled = fmt.Errorf("gossip is not configured: the pilot's file has no members")

// showFleet lists the pilots known by gossip. The skew column is the version of a pilot's list minus that of this pilot's.
func (p *Pilot) showFleet(w io.Writer, _ []string) error {
	if p.members == nil {
		return errGossipDisabled
	}
	fmt.Fprintln(w, "# pilot,zone,at,run,wire,list,from,skew,servers,proxies,")
	proxies, reachable := 0, 0
	for _, m := range p.members.All() {
		if m.Invalid != "" {
			fmt.Fprintf(w, "%s,,%s,%s,\n", runtime.Quote(m.Pilot), m.Address, runtime.Quote(m.Invalid))
			continue
		}
		proxies, reachable = proxies+m.Proxies, reachable+1
		fmt.Fprintf(w, "%s,%s,%s,%d,%d,%d,%s,%d,%d,%d,\n", runtime.Quote(m.Pilot), runtime.Quote(m.Zone), runtime.Quote(m.ListenAddress),
			m.Run, m.Wire, m.ListVersion,
			runtime.Quote(m.ListSource), int64(m.ListVersion-p.listVersion), m.Servers, m.Proxies)
	}
	fmt.Fprintf(w, "Pilots: %d\nProxies: %d\n", reachable, proxies)
	return nil
}

// showPeers lists the gossip address of each member, and the prefixes of the keys in use.
func (p *Pilot) showPeers(w io.Writer, _ []string) error {
	if p.members == nil {
		return errGossipDisabled
	}
	fmt.Fprintln(w, "# pilot,address,")
	for _, m := range p.members.All() {
		fmt.Fprintf(w, "%s,%s,\n", runtime.Quote(m.Pilot), m.Address)
	}
	fmt.Fprintf(w, "Keys: %s\n", strings.Join(p.members.Keys(), " "))
	return nil
}

// keyCommand returns a command that changes the gossip keys of this process. It does not change the file of keys, which the
// operator has to update.
func (p *Pilot) keyCommand(do func(*members.Members, string) error) func(io.Writer, []string) error {
	return func(_ io.Writer, words []string) error {
		if p.members == nil {
			return errGossipDisabled
		}
		if len(words) != 3 {
			return fmt.Errorf("a key is required: 32 bytes in base64")
		}
		return do(p.members, words[2])
	}
}

// fleetCommands returns the admin commands that concern the other pilots. onLoop runs a command's function on the loop.
func (p *Pilot) fleetCommands(
	onLoop func(func(io.Writer, []string) error) func(io.Writer, runtime.Command) error,
) []sessions.Command {
	return []sessions.Command{
		{Prefix: "show fleet", Help: "pilots known by gossip, with their state", Do: onLoop(p.showFleet)},
		{Prefix: "show peers", Help: "gossip addresses of the pilots, and prefixes of the keys", Do: onLoop(p.showPeers)},
		{Prefix: "add key", Help: "B64: accept messages encrypted with this key", Do: onLoop(p.keyCommand((*members.Members).AddKey))},
		{Prefix: "use key", Help: "B64: encrypt with this key; all members must have it",
			Do: onLoop(p.keyCommand((*members.Members).UseKey))},
		{Prefix: "del key", Help: "B64: no longer accept this key", Do: onLoop(p.keyCommand((*members.Members).DropKey))},
	}
}
