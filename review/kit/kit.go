// Package kit starts the programs of a review case, records what happened and ends everything that it started.
package kit

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

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Object is a JSON object.
type Object = map[string]any

// Run is one run of a case.
type Run struct {
	Dir     string // temporary directory of the run
	Trouble bool   // false with TROUBLE=0 in the environment
	program string
	begun   time.Time
	mu      sync.Mutex // guards the fields below
	record  *os.File
	procs   []*Proc
}

// New begins a run. It writes the record to record.txt in the working directory, which is the folder of the case.
func New() *Run {
	r := &Run{begun: time.Now(), Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if r.record, err = os.Create("record.txt"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if r.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		r.Fail(err)
	}
	if r.program, err = filepath.Abs("../../bin/vetchdoor"); err == nil {
		_, err = os.Stat(r.program)
	}
	if err != nil {
		r.Fail(err)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		r.Fail(errors.New("ended by a signal"))
	}()
	r.Note("trouble: %v", r.Trouble)
	return r
}

// Note writes a line to the record, with the time since the start in seconds.
func (r *Run) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Fail ends a run that could not be completed.
func (r *Run) Fail(err error) { r.End(NotRun, "the case could not run: %v", err) }

// End ends all processes of the run, prints and records the result and exits with the code.
func (r *Run) End(code int, format string, args ...any) {
	r.Note(format, args...)
	fmt.Printf(format+"\n", args...)
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	_ = os.RemoveAll(r.Dir)
	os.Exit(code)
}

// Sleep waits until the given time since the start of the run.
func (r *Run) Sleep(until time.Duration) { time.Sleep(time.Until(r.begun.Add(until))) }

// ClosedAddress returns a loopback address on which nothing listens.
func (r *Run) ClosedAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fail(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Proc is a running program of the project.
type Proc struct {
	run   *Run
	name  string
	cmd   *exec.Cmd
	lines chan Object   // its log, for Await
	ended chan struct{} // closed when it has ended

	mu  sync.Mutex // guards log
	log []string   // messages logged so far
}

// Launch starts a sub-command of the program with a settings file. Its log goes to the record.
func (r *Run) Launch(name, kind string, file Object) *Proc {
	path := filepath.Join(r.Dir, name+".json")
	text, err := json.Marshal(file)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		r.Fail(err)
	}
	p := &Proc{run: r, name: name, lines: make(chan Object, 10000), ended: make(chan struct{})}
	p.cmd = exec.Command(r.program, kind, "--file", path, "--log-format", "json")
	out, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		r.Fail(err)
	}
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Note("%s started", name)
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			r.Note("%s: %s", name, in.Text())
			line := Object{}
			if json.Unmarshal(in.Bytes(), &line) != nil {
				continue
			}
			text, _ := line["msg"].(string)
			p.mu.Lock()
			p.log = append(p.log, text)
			p.mu.Unlock()
			select {
			case p.lines <- line:
			default:
			}
		}
		_ = p.cmd.Wait()
		r.Note("%s ended: %v", name, p.cmd.ProcessState)
		close(p.ended)
	}()
	return p
}

// Await waits for a log message and returns one of its attributes.
func (p *Proc) Await(msg, attribute string) string {
	timeout := time.After(20 * time.Second)
	for {
		select {
		case line := <-p.lines:
			if line["msg"] == msg {
				return fmt.Sprint(line[attribute])
			}
		case <-p.ended:
			p.run.Fail(fmt.Errorf("%s ended before it logged %q", p.name, msg))
		case <-timeout:
			p.run.Fail(fmt.Errorf("%s did not log %q", p.name, msg))
		}
	}
}

// Logged returns the messages that the process has logged so far.
func (p *Proc) Logged() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// Signal sends a signal.
func (p *Proc) Signal(sig syscall.Signal) {
	p.run.Note("%s gets %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// EndsWithin reports whether the process ends within a duration.
func (p *Proc) EndsWithin(d time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// Kill ends the process at once and waits for its end.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}
