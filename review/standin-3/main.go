// Command standin-3 runs the scripted cases of the third review: it starts entry processes
// as the deploy file does, beside small stand-ins of the platform, endpoints and callers, and
// exits with 1 if the rule of the case was broken, 0 if it held and 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCant   = 2
)

// trouble is false for the run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var (
	record  *os.File
	began   = time.Now()
	cleanup = func() {}
)

var noting sync.Mutex

// note writes a line to the record of the case.
func note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...)
	noting.Lock()
	defer noting.Unlock()
	fmt.Fprintln(record, line)
	fmt.Println(line)
}

// cantRun ends a case that can't run.
func cantRun(format string, args ...any) {
	note("can't run: "+format, args...)
	cleanup()
	os.Exit(exitCant)
}

var cases = map[string]func() (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(exitCant)
	}
	var err error
	record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCant)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		cantRun("ended by a signal")
	}()
	broken := cases[os.Args[1]]()
	cleanup()
	if broken {
		note("the rule was broken")
		os.Exit(exitBroken)
	}
	note("the rule held")
	os.Exit(exitHeld)
}
