// Command proxy compares the proxy with httputil.ReverseProxy and a fasthttp proxy, under the same clients and the
// same server. Each proxy runs in a process of its own, so that its CPU time per op can be measured. Run it without
// arguments.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"vetchdoor/files"
	"vetchdoor/proxy"
)

func main() {
	kind := flag.String("kind", "", "run as a proxy of this kind: ours, std or fast")
	to := flag.String("to", "", "address of the server")
	procs := flag.String("procs", "1", "GOMAXPROCS of each proxy")
	span := flag.Duration("span", 4*time.Second, "duration of each run")
	rounds := flag.Int("rounds", 3, "number of rounds, each with all kinds in turn")
	clients := flag.Int("clients", 64, "number of connections, each with one op in flight")
	flag.Parse()
	if *kind != "" {
		serve(*kind, *to)
		return
	}
	origin := startOrigin()
	results := map[string][]result{}
	kinds := []string{"direct", "std", "fast", "ours"}
	for range *rounds {
		for _, k := range kinds {
			r, err := measure(k, origin, *procs, *span, *clients)
			if err != nil {
				fmt.Fprintln(os.Stderr, k, err)
				os.Exit(1)
			}
			results[k] = append(results[k], r)
		}
	}
	fmt.Printf("%-8s %12s %14s %10s %10s\n", "kind", "ops/s", "CPU us an op", "p50 us", "p99 us")
	for _, k := range kinds {
		slices.SortFunc(results[k], func(a, b result) int { return int(a.opsPerSecond - b.opsPerSecond) })
		median := results[k][len(results[k])/2]
		fmt.Printf("%-8s %12.0f %14.1f %10d %10d\n", k,
			median.opsPerSecond, median.cpuMicros, median.p50.Microseconds(), median.p99.Microseconds())
	}
}

// result holds the measurements of one run.
type result struct {
	opsPerSecond, cpuMicros float64
	p50, p99                time.Duration
}

// startOrigin starts a server that answers every request with the same small response, and returns its address.
func startOrigin() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		c.Response.Header.Set("endpoint-load-metrics", "TEXT cpu_utilization=0.5,named_metrics.inflight=3")
		c.SetBodyString("ok and some more text, as a small answer has it\n")
	}}
	go s.Serve(ln)
	return ln.Addr().String()
}

// measure runs a proxy of a kind, or none for "direct", and measures it under load after a warm-up.
func measure(kind, origin, procs string, span time.Duration, clients int) (result, error) {
	address, pid := origin, 0
	if kind != "direct" {
		cmd := exec.Command(os.Args[0], "-kind", kind, "-to", origin)
		cmd.Env = append(os.Environ(), "GOMAXPROCS="+procs)
		cmd.Stderr = os.Stderr
		out, err := cmd.StdoutPipe()
		if err != nil {
			return result{}, err
		}
		if err := cmd.Start(); err != nil {
			return result{}, err
		}
		defer cmd.Wait()
		defer cmd.Process.Kill()
		if address, err = bufio.NewReader(out).ReadString('\n'); err != nil {
			return result{}, err
		}
		address, pid = strings.TrimSpace(address), cmd.Process.Pid
	}
	load(address, clients, span/4) // warm up
	before := cpuOf(pid)
	all := load(address, clients, span)
	cpuTime := cpuOf(pid) - before
	slices.Sort(all)
	n := len(all)
	return result{float64(n) / span.Seconds(), cpuTime.Seconds() * 1e6 / float64(n), all[n/2], all[n*99/100]}, nil
}

// cpuOf returns the CPU time that a process has used, user and system; 0 if there is no such process.
func cpuOf(pid int) time.Duration {
	if pid == 0 {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	u, _ := strconv.Atoi(f[11])
	s, _ := strconv.Atoi(f[12])
	return time.Duration(u+s) * 10 * time.Millisecond
}

// load lets each client send one op after another for a duration, and returns the latencies of all ops.
func load(address string, clients int, span time.Duration) (all []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(span)
	for range clients {
		wg.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				panic(err)
			}
			defer c.Close()
			in := bufio.NewReaderSize(c, 4096)
			req := []byte("GET /page HTTP/1.1\r\nHost: results.example\r\nUser-Agent: x\r\nAccept: */*\r\n\r\n")
			var latencies []time.Duration
			for time.Now().Before(end) {
				begin := time.Now()
				if _, err := c.Write(req); err != nil {
					panic(err)
				}
				length := 0
				for {
					line, err := in.ReadSlice('\n')
					if err != nil {
						panic(err)
					}
					if len(line) == 2 {
						break
					}
					if len(line) > 16 && strings.EqualFold(string(line[:15]), "content-length:") {
						length, _ = strconv.Atoi(strings.TrimSpace(string(line[15:])))
					}
				}
				if _, err := in.Discard(length); err != nil {
					panic(err)
				}
				latencies = append(latencies, time.Since(begin))
			}
			mu.Lock()
			all = append(all, latencies...)
			mu.Unlock()
		})
	}
	wg.Wait()
	return all
}

// serve runs a proxy of the given kind and prints its address on standard output.
func serve(kind, to string) {
	switch kind {
	case "ours":
		ms := func(n int) files.Duration { return files.Duration(time.Duration(n) * time.Millisecond) }
		p, err := proxy.New(&files.Proxy{Kind: "proxy", ID: 1, Zone: "z", Listen: "127.0.0.1:0",
			Pilots: []files.PilotAddress{{Address: "127.0.0.1:1", Zone: "z"}},
			Redial: ms(60000), Servers: []files.StandingServer{{Endpoint: 1, Address: to, Zone: "z"}},
			Service: files.Service{Zones: []string{"z"}, Bootstrap: 1, ReportEvery: ms(1000),
				Measures: []string{"cpu_utilization", "inflight"},
				OpTypes:  []files.OpType{{Name: "a", TargetLatency: ms(500), OpTimeout: ms(2000), Repeat: "retryable"}}}},
			slog.New(slog.DiscardHandler))
		if err == nil {
			err = p.Start()
		}
		if err != nil {
			panic(err)
		}
		fmt.Println(p.Address())
		defer p.Stop(context.Background())
	case "std":
		u, _ := url.Parse("http://" + to)
		reverseProxy := httputil.NewSingleHostReverseProxy(u)
		reverseProxy.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
		reverseProxy.ErrorLog = nil
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		go http.Serve(ln, reverseProxy)
		fmt.Println(ln.Addr())
	case "fast":
		client := &fasthttp.HostClient{Addr: to, MaxConns: 4096}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
			c.Request.Header.Del("Connection")
			if err := client.Do(&c.Request, &c.Response); err != nil {
				c.Error(err.Error(), 502)
				return
			}
			c.Response.Header.Del("Connection")
		}}
		go s.Serve(ln)
		fmt.Println(ln.Addr())
	}
	os.Stdout.Close()
	if path := os.Getenv("PROFILE"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			panic(err)
		}
		_ = pprof.StartCPUProfile(f)
		time.AfterFunc(2*time.Second, func() { pprof.StopCPUProfile(); f.Close() })
	}
	select {} // the measuring process kills this one
}
