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

// startMembers takes part in the gossip of pilots. It is for people alone: nothing that it says becomes an event.
func (p *Pilot) startMembers() error {
	f := p.file.Members
	if f == nil {
		return nil
	}
	keys, err := readKeys(f.KeyFile)
	if err != nil {
		return err
	}
	p.updateSelf()
	p.members, err = members.Start(members.Config{Name: p.file.Name, Bind: f.Bind, Peers: f.SeedAddresses, Keys: keys, Allow: f.Allow, Log: p.log,
		Tell: func() members.PilotStatus { return *p.self.Load() }})
	return err
}

// readKeys reads a file of keys, one a line, the first writes.
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
		return nil, fmt.Errorf("%s holds no key: the base64 of 32 bytes, one a line, is meant", path)
	}
	return out, nil
}

// updateSelf notes what the others are to hear of this pilot; the loop's own.
func (p *Pilot) updateSelf() {
	w := members.PilotStatus{Pilot: p.file.Name, Zone: p.file.Zone, Run: p.run, ListVersion: p.version, ListSource: p.fresher, Servers: len(p.list), Proxies: len(p.sessions),
		Wire: runtime.Wire, ListenAddress: p.file.Listen}
	if p.ln != nil {
		w.ListenAddress = p.ln.Address()
	}
	p.self.Store(&w)
}

var errNoMembers = fmt.Errorf("this pilot hears of no others: its file has no members")

// showFleet lists the pilots that are heard of; skew is how far a list is behind or ahead of this pilot's.
func (p *Pilot) showFleet(w io.Writer, _ []string) error {
	if p.members == nil {
		return errNoMembers
	}
	fmt.Fprintln(w, "# pilot,zone,at,run,wire,list,from,skew,servers,proxies,")
	proxies, heard := 0, 0
	for _, m := range p.members.All() {
		if m.Invalid != "" {
			fmt.Fprintf(w, "%s,,%s,%s,\n", runtime.Quote(m.Pilot), m.Address, runtime.Quote(m.Invalid))
			continue
		}
		proxies, heard = proxies+m.Proxies, heard+1
		fmt.Fprintf(w, "%s,%s,%s,%d,%d,%d,%s,%d,%d,%d,\n", runtime.Quote(m.Pilot), runtime.Quote(m.Zone), runtime.Quote(m.ListenAddress), m.Run, m.Wire, m.ListVersion,
			runtime.Quote(m.ListSource), int64(m.ListVersion-p.version), m.Servers, m.Proxies)
	}
	fmt.Fprintf(w, "Pilots: %d\nProxies: %d\n", heard, proxies)
	return nil
}

// showPeers lists where the gossip hears whom.
func (p *Pilot) showPeers(w io.Writer, _ []string) error {
	if p.members == nil {
		return errNoMembers
	}
	fmt.Fprintln(w, "# pilot,address,")
	for _, m := range p.members.All() {
		fmt.Fprintf(w, "%s,%s,\n", runtime.Quote(m.Pilot), m.Address)
	}
	fmt.Fprintf(w, "Keys: %s\n", strings.Join(p.members.Keys(), " "))
	return nil
}

// keyCommand changes the gossip's keys in this process; the file is the operator's to change.
func (p *Pilot) keyCommand(do func(*members.Members, string) error) func(io.Writer, []string) error {
	return func(_ io.Writer, words []string) error {
		if p.members == nil {
			return errNoMembers
		}
		if len(words) != 3 {
			return fmt.Errorf("a key is to follow, the base64 of 32 bytes")
		}
		return do(p.members, words[2])
	}
}

// fleetCommands are those of the socket for people that concern the other pilots.
func (p *Pilot) fleetCommands(inLoop func(func(io.Writer, []string) error) func(io.Writer, runtime.Command) error) []sessions.Command {
	return []sessions.Command{
		{Prefix: "show fleet", Help: "the pilots that are heard of: what each tells of itself", Do: inLoop(p.showFleet)},
		{Prefix: "show peers", Help: "where the gossip hears whom, and the beginnings of its keys", Do: inLoop(p.showPeers)},
		{Prefix: "add key", Help: "B64: take what others write with it", Do: inLoop(p.keyCommand((*members.Members).AddKey))},
		{Prefix: "use key", Help: "B64: write with it; all must have it", Do: inLoop(p.keyCommand((*members.Members).UseKey))},
		{Prefix: "del key", Help: "B64: nobody may write with it any more", Do: inLoop(p.keyCommand((*members.Members).DropKey))},
	}
}
