// Package testscripts_test runs the programs from scripts in testdata.
package testscripts_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcuprail/kingcuprail/internal/commands"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"kingcuprail":         func() { os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
		"kingcuprail-standin": func() { os.Exit(commands.ExecuteStandin(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against a command line that differs from the documented one, and against
// programs that hang at startup or shutdown. Each script states what it checks.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../examples")
			env.Setenv("EXAMPLES", examples)
			env.Values[startedProcessesKey{}] = make(map[string]*process)
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start": startCommand, "terminate": terminateCommand, "http": httpCommand,
			"reserve": reserveCommand,
		},
	})
}

// process is a program that a script has started.
type process struct {
	cmd  *exec.Cmd
	done chan error
}

// startCommand implements "start VARIABLE... -- PROGRAM ARG...". It starts the
// program and sets each variable to the address in the next line that the program
// prints. "terminate" identifies the process by the first variable.
func startCommand(ts *testscript.TestScript, negated bool, args []string) {
	separator := 0
	for separator < len(args) && args[separator] != "--" {
		separator++
	}
	if negated || separator == 0 || separator > len(args)-2 {
		ts.Fatalf("usage: start VARIABLE... -- PROGRAM ARG...")
	}
	program := args[separator+1]
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if path := filepath.Join(dir, program); !strings.Contains(program, "/") {
			if _, err := os.Stat(path); err == nil {
				program = path
			}
		}
	}
	cmd := exec.Command(program, args[separator+2:]...)
	cmd.Dir = ts.MkAbs(".")
	logs, err := os.Create(ts.MkAbs(args[0] + ".log"))
	ts.Check(err)
	cmd.Stderr = logs
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan error, 1)}
	lines := bufio.NewReader(out)
	for _, variable := range args[:separator] {
		line, err := lines.ReadString('\n')
		if err != nil {
			_ = cmd.Wait()
			ts.Fatalf("%s exited before it printed its addresses:\n%s", program, ts.ReadFile(args[0]+".log"))
		}
		fields := strings.Fields(line)
		ts.Setenv(variable, fields[1])
		ts.Setenv(variable+"_ADDR", strings.TrimPrefix(fields[1], "http://"))
	}
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		p.done <- cmd.Wait()
	}()
	startedProcesses(ts)[args[0]] = p
	ts.Defer(func() { _ = cmd.Process.Kill() })
}

type startedProcessesKey struct{}

// startedProcesses returns the processes that the script has started, by the name
// of their first variable.
func startedProcesses(ts *testscript.TestScript) map[string]*process {
	return ts.Value(startedProcessesKey{}).(map[string]*process)
}

// terminateCommand implements "terminate VARIABLE". It sends SIGTERM to the
// process and fails unless the process exits with status 0.
func terminateCommand(ts *testscript.TestScript, _ bool, args []string) {
	p := startedProcesses(ts)[args[0]]
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	if err := <-p.done; err != nil {
		ts.Fatalf("%s: %v\n%s", args[0], err, ts.ReadFile(args[0]+".log"))
	}
}

// reserveCommand implements "reserve VARIABLE". It sets the variable to an address
// that refuses connections and that no other program can listen at until the end
// of the script.
func reserveCommand(ts *testscript.TestScript, _ bool, args []string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	ts.Check(err)
	ts.Defer(func() { _ = syscall.Close(fd) })
	// The socket is bound, but it does not listen.
	ts.Check(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	addr, err := syscall.Getsockname(fd)
	ts.Check(err)
	ts.Setenv(args[0], fmt.Sprintf("127.0.0.1:%d", addr.(*syscall.SockaddrInet4).Port))
}

// httpCommand implements "http METHOD URL KEY [BODY [IDEMPOTENCY-KEY]]". It sends
// the request with KEY as its API key and prints the body of the response. It
// fails unless the status is 2xx, or not 2xx if negated.
func httpCommand(ts *testscript.TestScript, negated bool, args []string) {
	body := ""
	if len(args) > 3 {
		body = args[3]
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[2])
	if len(args) > 4 {
		req.Header.Set("Idempotency-Key", args[4])
	}
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	_, err = io.Copy(ts.Stdout(), resp.Body)
	ts.Check(err)
	if ok := resp.StatusCode/100 == 2; ok == negated {
		ts.Fatalf("%s %s: status %d", args[0], args[1], resp.StatusCode)
	}
}
