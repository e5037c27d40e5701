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

// maxOutputLines bounds the output that is kept of a program.
const maxOutputLines = 20_000

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
	// ended is closed after the process has ended and all its output was scanned.
	// waitErr is valid from then on.
	ended   chan struct{}
	waitErr error
	// stopping is closed when the program logs that it is stopping.
	stopping chan struct{}

	mu     sync.Mutex
	output []string
}

// Start runs a program until the end of the test. It waits until a line of the
// output matches ready and returns the submatches of that line.
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
	readyMatch := make(chan []string, 1)
	scanned := make(chan struct{})
	go func() {
		defer close(scanned)
		p.scanOutput(r, ready, readyMatch)
	}()
	go func() {
		p.waitErr = p.cmd.Wait()
		_ = w.Close()
		<-scanned
		close(p.ended)
	}()
	tb.Cleanup(p.Kill)
	select {
	case m := <-readyMatch:
		return p, m
	case <-p.ended:
		tb.Fatalf("%s ended before it was ready: %v\n%s", name, p.waitErr, p.Output())
		return nil, nil
	}
}

func (p *Process) scanOutput(r io.Reader, ready *regexp.Regexp, readyMatch chan<- []string) {
	var once sync.Once
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		p.mu.Lock()
		if len(p.output) < maxOutputLines {
			p.output = append(p.output, sc.Text())
		}
		p.mu.Unlock()
		if strings.Contains(sc.Text(), "msg=stopping") {
			once.Do(func() { close(p.stopping) })
		}
		if m := ready.FindStringSubmatch(sc.Text()); m != nil {
			select {
			case readyMatch <- m:
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
	return strings.Join(p.output, "\n")
}

// Tail returns the last lines of the output.
func (p *Process) Tail() string {
	const lines = 20
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.output[max(0, len(p.output)-lines):], "\n")
}

// Kill ends the process at once, which simulates the loss of an instance, and
// waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It has no effect if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Terminate asks the process to stop gracefully, with SIGTERM.
func (p *Process) Terminate() { p.Signal(syscall.SIGTERM) }

// AwaitStopping waits until the program logs that it is stopping. It returns
// false if the program ended without logging that.
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

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.ended }

// Wait waits for the end of the process and returns the error of exec.Cmd.Wait.
func (p *Process) Wait() error {
	<-p.ended
	return p.waitErr
}

// TempDir returns a directory for built programs and a function that removes it.
func TempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "kcprogram")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
