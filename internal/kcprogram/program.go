// Package kcprogram builds and runs the project's programs in tests.
package kcprogram

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/zeebo/errs"
)

// maxLines bounds the output that is kept of a program.
const maxLines = 20_000

// Build builds the package at pkg into dir and returns the path of the program.
func Build(dir, pkg string) (string, error) {
	path := filepath.Join(dir, filepath.Base(dir)+"-"+strings.Trim(strings.ReplaceAll(pkg, "/", "-"), ".-"))
	out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput() //nolint:noctx // a test has its own limit
	if err != nil {
		return "", errs.New("build %s: %v\n%s", pkg, err, out)
	}
	return path, nil
}

// Process is a running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	// ended is closed after the process has ended and exit is valid.
	ended chan struct{}
	exit  error
	// stopping is closed when the program logs that it stops.
	stopping chan struct{}

	mu  sync.Mutex
	log []string
}

// Start runs a program until the end of the test. It returns once a line of its
// output matches ready, with the submatches of that line.
func Start(tb testing.TB, name string, ready *regexp.Regexp, path string, args ...string) (*Process, []string) {
	tb.Helper()
	p := &Process{
		Name: name, cmd: exec.Command(path, args...), //nolint:noctx // ends with the test
		ended: make(chan struct{}), stopping: make(chan struct{}),
	}
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	found := make(chan []string, 1)
	go p.read(r, ready, found)
	go func() {
		p.exit = p.cmd.Wait()
		_ = w.Close()
		close(p.ended)
	}()
	tb.Cleanup(p.Kill)
	select {
	case m := <-found:
		return p, m
	case <-p.ended:
		tb.Fatalf("%s ended before it was ready: %v\n%s", name, p.exit, p.Output())
		return nil, nil
	}
}

func (p *Process) read(r io.Reader, ready *regexp.Regexp, found chan<- []string) {
	var once sync.Once
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		p.mu.Lock()
		if len(p.log) < maxLines {
			p.log = append(p.log, sc.Text())
		}
		p.mu.Unlock()
		if strings.Contains(sc.Text(), "msg=stopping") {
			once.Do(func() { close(p.stopping) })
		}
		if m := ready.FindStringSubmatch(sc.Text()); m != nil {
			select {
			case found <- m:
			default:
			}
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// Output returns the lines that the program has written.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log, "\n")
}

// Tail returns the last lines of the output.
func (p *Process) Tail() string {
	const lines = 20
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log[max(0, len(p.log)-lines):], "\n")
}

// Kill ends the process at once, as the loss of an instance does.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Signal sends a signal. A process that has ended ignores it.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Stop asks for a planned stop.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// AwaitStopping waits until the program logs that it stops. It returns false
// if it ended without that.
func (p *Process) AwaitStopping() bool {
	select {
	case <-p.stopping:
		return true
	case <-p.ended:
	}
	select {
	case <-p.stopping:
		return true
	default:
		return false
	}
}

// Ended is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.ended }

// Wait returns how the process ended.
func (p *Process) Wait() error {
	<-p.ended
	return p.exit
}

// TempDir returns a directory for built programs and a function that removes it.
func TempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "kcprogram")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
