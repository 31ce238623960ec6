// Command review-standin-2 runs the cases of the second review: it starts entry processes of
// the deploy file beside stand-ins of callers, engines and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// cleanups end what was started, in any case.
var cleanups []func()

func cleanup() {
	for _, f := range cleanups {
		f()
	}
	cleanups = nil
}

// fail ends the case as one that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	cleanup()
	os.Exit(couldntRun)
}

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &recorder{file: file, started: time.Now()}
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, text)
	fmt.Println(text)
}

// cases are the cases by name.
var cases = map[string]func(dir string, r *recorder, trouble bool) int{
	"manyparts": runManyParts,
	"sameparts": runSameParts,
	"spoiled":   runSpoiled,
	"lasttwo":   runLastTwo,
}

func main() {
	if len(os.Args) != 3 {
		fail("usage: review-standin-2 CASE FOLDER-FOR-THE-RECORD")
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fail("no case %q", os.Args[1])
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	keep := os.Getenv("KEEP_LOGS") != ""
	r := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	code := run(dir, r, os.Getenv("TROUBLE") != "0")
	cleanup()
	if keep {
		fmt.Println("logs in", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}
