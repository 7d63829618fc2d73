package kit2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Object is a JSON object of a settings file.
type Object = map[string]any

// Product runs the product's own set of processes: list service, pilots and proxies, each with a JSON file. It keeps the
// record of a case and its result. Its methods may be called at any time by any goroutine.
type Product struct {
	Trouble bool // false with TROUBLE=0 in the environment: the case plays without its disruption

	began  time.Time
	folder string
	done   chan struct{}

	mu      sync.Mutex
	parts   []*part
	file    *os.File
	record  *bufio.Writer
	broken  int
	failure error
}

// part is a process of the project.
type part struct {
	name     string
	cmd      *exec.Cmd
	ended    chan struct{}
	expected bool // the case itself ends it
}

// NewProduct starts the record of a case in record.txt of the working directory.
func NewProduct() (*Product, error) {
	p := &Product{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), done: make(chan struct{})}
	var err error
	if p.file, err = os.Create("record.txt"); err != nil {
		return nil, err
	}
	p.record = bufio.NewWriter(p.file)
	if p.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		p.Fail(fmt.Errorf("interrupted by %v", <-signals))
		close(p.done)
	}()
	return p, nil
}

// Path returns the path of a file in the temporary folder of the case.
func (p *Product) Path(name string) string { return filepath.Join(p.folder, name) }

// FreeAddresses returns loopback addresses with different free ports.
func FreeAddresses(n int) (out []string) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// Launch starts a process of the program that the deploy file builds.
func (p *Product) Launch(name, kind string, settings Object) {
	path := p.Path(name + ".json")
	b, err := json.MarshalIndent(settings, "", " ")
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	log, err2 := os.OpenFile(p.Path(name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err = errors.Join(err, err2); err != nil {
		p.Fail(err)
		return
	}
	defer log.Close()
	cmd := exec.Command("../../bin/vetchdoor", kind, "--file", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.Fail(err)
		return
	}
	x := &part{name: name, cmd: cmd, ended: make(chan struct{})}
	p.mu.Lock()
	p.parts = append(p.parts, x)
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := x.expected
		p.mu.Unlock()
		if !expected {
			text, _ := os.ReadFile(log.Name())
			p.Fail(fmt.Errorf("%s ended: %v: %.500s", name, err, text))
		}
		close(x.ended)
	}()
}

// Await waits until something listens on an address.
func (p *Product) Await(address string) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			return
		}
	}
	p.Fail(fmt.Errorf("nobody listens on %s", address))
}

// Signal sends a signal to a process.
func (p *Product) Signal(name string, s syscall.Signal) {
	p.Printf("%s gets the signal: %v", name, s)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.parts {
		if x.name == name {
			_ = x.cmd.Process.Signal(s)
		}
	}
}

// End ends a process by a signal and waits until it has ended, at most as long as given; then it is killed. It returns how
// long that took.
func (p *Product) End(name string, s syscall.Signal, within time.Duration) time.Duration {
	began := time.Now()
	p.Printf("%s gets the signal: %v", name, s)
	p.mu.Lock()
	var found *part
	for _, x := range p.parts {
		if x.name == name && !x.expected {
			x.expected, found = true, x
		}
	}
	p.mu.Unlock()
	if found == nil {
		p.Fail(fmt.Errorf("%s does not run", name))
		return 0
	}
	_ = found.cmd.Process.Signal(s)
	select {
	case <-found.ended:
	case <-time.After(within):
		_ = found.cmd.Process.Kill()
		<-found.ended
	}
	return time.Since(began)
}

// Sleep waits for a while, or until the case is interrupted.
func (p *Product) Sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.done:
	}
}

// Fail notes that the case cannot run.
func (p *Product) Fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure == nil {
		p.failure = err
	}
}

// Failed reports whether the case cannot run.
func (p *Product) Failed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure != nil
}

// Millis returns the time since the start of the case in milliseconds, as in the record.
func (p *Product) Millis(at time.Time) int64 { return at.Sub(p.began).Milliseconds() }

// Recordf writes a line to the record, with the time since the start in milliseconds.
func (p *Product) Recordf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8d ", time.Since(p.began).Milliseconds())
	fmt.Fprintf(p.record, format+"\n", args...)
}

// Printf writes a line to the record and to standard output.
func (p *Product) Printf(format string, args ...any) {
	p.Recordf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// maxPrinted is how many breaks of the rule are printed; all are recorded.
const maxPrinted = 5

// Broken notes that the rule was broken.
func (p *Product) Broken(format string, args ...any) {
	p.mu.Lock()
	p.broken++
	n := p.broken
	p.mu.Unlock()
	if n <= maxPrinted {
		p.Printf("BROKEN: "+format, args...)
	} else {
		p.Recordf("BROKEN: "+format, args...)
	}
}

// Finish ends all processes and returns the exit code of the case: 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
func (p *Product) Finish() int {
	p.mu.Lock()
	parts := p.parts
	p.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		x := parts[i]
		p.mu.Lock()
		x.expected = true
		p.mu.Unlock()
		_ = x.cmd.Process.Signal(syscall.SIGCONT)
		_ = x.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-x.ended:
		case <-time.After(10 * time.Second):
			_ = x.cmd.Process.Kill()
			<-x.ended
		}
	}
	p.mu.Lock()
	failure, broken := p.failure, p.broken
	p.mu.Unlock()
	code := 0
	switch {
	case failure != nil:
		p.Printf("cannot run: %v", failure)
		code = 2
	case broken > 0:
		code = 1
	}
	p.Printf("%d breaks; exit code %d", broken, code)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.record.Flush()
	_ = p.file.Close()
	_ = os.RemoveAll(p.folder)
	return code
}
