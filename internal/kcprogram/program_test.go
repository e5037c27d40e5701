package kcprogram_test

import (
	"fmt"
	"os"
	"os/signal"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcprogram"
)

// stoppingProgramEnv makes this test binary a program that logs much and then
// stops at once when it is asked to.
const stoppingProgramEnv = "KCPROGRAM_STOPPING"

func TestMain(m *testing.M) {
	if os.Getenv(stoppingProgramEnv) == "" {
		os.Exit(m.Run())
	}
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	fmt.Println("msg=ready")
	<-terminate
	fmt.Print(strings.Repeat("x\n", 20_000) + "msg=stopping\n")
}

// Guards against taking a program that stops quickly for one that ended without
// a graceful shutdown, because its last lines were not read yet.
func TestQuickStopIsSeenAsGraceful(t *testing.T) {
	t.Setenv(stoppingProgramEnv, "1")
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		p, _ := kcprogram.Start(t, "program", regexp.MustCompile("msg=ready"), path)
		p.Terminate()
		if err := p.Wait(); err != nil {
			t.Fatal(err)
		}
		if !p.AwaitStopping() {
			t.Fatal("the program has stopped gracefully, which was not seen")
		}
	}
}
