// Command pilot measures the CPU time and memory of a pilot. It runs the given program as a separate process, with
// 500 proxies that it simulates and a list of 300 servers that changes now and then. Build vetchdoor first:
//
//	go build -o /tmp/vetchdoor ../cmd/vetchdoor && go run ./pilot -program /tmp/vetchdoor
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/days"
	listservice "vetchdoor/lab/roster"
	"vetchdoor/roster"
	"vetchdoor/runtime"
	"vetchdoor/session"
)

func main() {
	program := flag.String("program", "", "the vetchdoor binary")
	proxies := flag.Int("proxies", 500, "number of proxies")
	servers := flag.Int("servers", 300, "number of servers")
	span := flag.Duration("span", 15*time.Second, "duration of each phase after joining")
	flag.Parse()
	if err := measure(*program, *proxies, *servers, *span); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measure runs the pilot through three phases and prints its CPU time and memory in each: proxies joining, steady state,
// and a changing list.
func measure(program string, proxies, servers int, span time.Duration) error {
	day, err := days.Read("large-evening")
	if err != nil {
		return err
	}
	var list []roster.Entry
	for i := range servers {
		list = append(list, roster.Entry{Endpoint: control.EndpointID(i + 1),
			Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 10000+i)),
			Zone:    day.Service.Zones[i%3], Pack: i / 9, Weight: 2, Mode: "ready"})
	}
	service, err := listservice.Start("127.0.0.1:0", list)
	if err != nil {
		return err
	}
	defer service.Close()
	dir, err := os.MkdirTemp("", "bench-pilot-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	day.Channel.MaxWaitingLines, day.Channel.LinesPerSecond, day.Channel.ReportLinesPerSecond = 400_000, 200_000, 5000
	file := files.Pilot{Kind: "pilot", Name: "p", Zone: day.Service.Zones[0], Proxies: proxies, Listen: "127.0.0.1:0",
		Roster: service.Address(), Admin: "unix:" + filepath.Join(dir, "sock"),
		Service: day.Service, Limits: day.Limits, Channel: day.Channel}
	b, err := json.Marshal(file)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "pilot.json"), b, 0o600)
	}
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "pilot", "--file", filepath.Join(dir, "pilot.json"), "--log-format", "json")
	logs, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return err
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	in := bufio.NewReader(logs)
	var line struct{ Msg, Listen string }
	for line.Msg != "pilot runs" {
		text, err := in.ReadBytes('\n')
		if err != nil {
			return err
		}
		_ = json.Unmarshal(text, &line)
	}
	go io.Copy(io.Discard, in)
	begin := time.Now()
	for i := range proxies {
		go simulateProxy(line.Listen, i, list, &day.Service)
	}
	time.Sleep(8 * time.Second)
	report := func(what string, since time.Time, cpu time.Duration) (time.Time, time.Duration) {
		now, total := time.Now(), cpuOf(cmd.Process.Pid)
		info, err := session.Query(file.Admin, "show info", 10*time.Second)
		if err != nil {
			info = err.Error()
		}
		fmt.Printf("%-28s CPU %5.1f%% of a core, %s\n", what,
			100*(total-cpu).Seconds()/now.Sub(since).Seconds(), residentMemory(cmd.Process.Pid))
		for _, l := range strings.Split(info, "\n") {
			for _, p := range []string{"Proxies:", "Batches", "Deciding", "Messages", "Lines"} {
				if strings.HasPrefix(l, p) {
					fmt.Printf("  %s\n", l)
				}
			}
		}
		return now, total
	}
	at, cpu := report("joining, 8 s", begin, 0)
	time.Sleep(span)
	at, cpu = report("steady", at, cpu)
	for range int(span / time.Second) { // one server drains and returns each second
		e := list[rand.IntN(len(list))]
		e.Mode = "draining"
		service.Set(e)
		time.Sleep(500 * time.Millisecond)
		e.Mode = "ready"
		service.Set(e)
		time.Sleep(500 * time.Millisecond)
	}
	report("a drain and return a second", at, cpu)
	return nil
}

// simulateProxy joins the pilot as one proxy, confirms its messages and sends sums each second.
func simulateProxy(address string, id int, list []roster.Entry, service *files.Service) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		panic(err)
	}
	hello := runtime.Hello{Proxy: control.ProxyID(id), Token: fmt.Sprint(id), Zone: id % 3, Rate: 5, Pilot: "-", Window: 4096}
	_, _ = c.Write(hello.Append(nil))
	go func() {
		rng := rand.New(rand.NewPCG(1, uint64(id)))
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		for {
			s := runtime.Sums{Window: time.Second, Types: []runtime.TypeSum{{OpType: 0, Ops: 4}, {OpType: 1, Ops: 1}}}
			for range 5 {
				s.Servers = append(s.Servers, runtime.ServerSum{Endpoint: list[rng.IntN(len(list))].Endpoint, Tries: 1,
					Latency: 100 * time.Millisecond, Load: []float64{0.4 + 0.2*rng.Float64(), 2, 90}})
			}
			if _, err := c.Write(s.Append(nil)); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}()
	scan := runtime.NewScanner(runtime.StreamBounds)
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		scan.Feed(buf[:n])
		for {
			line, ok, err := scan.Next()
			if err != nil {
				panic(err)
			}
			if !ok {
				break
			}
			if !line[0].HasPrefix("apply") {
				continue
			}
			m, err := runtime.ParseMessage(line[0])
			if err != nil {
				panic(err)
			}
			_, _ = c.Write(runtime.Confirmation{Run: m.Run, Number: m.Number, Checkpoint: m.Checkpoint}.Append(nil))
		}
	}
}

// cpuOf returns the CPU time that a process has used, user and system; 0 if there is no such process.
func cpuOf(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	var u, s int
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	fmt.Sscan(f[11], &u)
	fmt.Sscan(f[12], &s)
	return time.Duration(u+s) * 10 * time.Millisecond
}

// residentMemory returns the resident set size of a process as text; empty if there is no such process.
func residentMemory(pid int) string {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return ""
	}
	for _, l := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(l, "VmRSS:") {
			return "resident " + strings.TrimSpace(strings.TrimPrefix(l, "VmRSS:"))
		}
	}
	return ""
}
