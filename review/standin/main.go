// Command standin plays the cases of the review: it starts entry instances and
// runners as processes, is the store, the clients and the links itself, and checks
// one rule on what clients, runners and the store have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	var o runnerOptions
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.StringVar(&o.id, "runner", "", "serve as the runner with this id")
	flag.StringVar(&o.addr, "addr", "", "address of the runner")
	flag.IntVar(&o.events, "events", 40, "events of a stream")
	flag.DurationVar(&o.gap, "gap", 250*time.Millisecond, "time before each event")
	flag.DurationVar(&o.work, "work", 60*time.Millisecond, "time for an answer that is no stream")
	flag.BoolVar(&o.unframed, "unframed", false, "streams have no length and end with their connection")
	flag.IntVar(&o.pauseAfter, "pause-after", 0, "event after which a run is put back")
	flag.DurationVar(&o.pause, "pause", 0, "time for which a run is put back")
	flag.Parse()
	if o.id != "" {
		runRunner(o)
		return
	}
	cases := map[string]func(b *bed) int{"leave": playLeave, "silent": playSilent, "putback": playPutBack, "crash": playCrash, "backlog": playBacklog}
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(runCase(*record, play))
}

func runCase(record string, play func(b *bed) int) (code int) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(cannotRun); !ok {
				panic(r)
			}
			code = 2
		}
	}()
	b := newBed(record, os.Getenv("TROUBLE") != "0")
	defer b.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		b.note("stopped from outside")
		b.close()
		os.Exit(2)
	}()
	return play(b)
}
