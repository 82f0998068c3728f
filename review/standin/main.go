//go:build review

// Command standin plays the cases of the review that are scripts. It starts the project's
// own programs beside stand-ins of the platform's store, the backend servers and the
// callers, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case.
const maxRun = 110 * time.Second

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

// add writes one line with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// testCase plays a case in a fleet and returns what broke the rule, empty if it held.
type testCase func(f *fleet) (broken string, err error)

var cases = map[string]testCase{}

// errNotPlayed says that the fleet did not do what the case needs, so that the rule was not
// put to the test.
var errNotPlayed = errors.New("the case was not played")

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE SISKINFALL RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = rec.f.Close() }()
	f, err := newFleet(binary, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](f)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case res := <-done:
		switch {
		case res.broken != "":
			rec.add("RULE BROKEN: %s", res.broken)
			fmt.Println("broken:", res.broken)
			return exitBroken
		case res.err != nil:
			rec.add("the case could not run: %v", res.err)
			fmt.Fprintln(os.Stderr, res.err)
			return exitNotRun
		}
		rec.add("the rule held")
		fmt.Println("held")
		return exitHeld
	case <-signals:
	case <-time.After(maxRun):
	}
	rec.add("the case was ended before its time")
	return exitNotRun
}
