//go:build review

// Command standin-3 runs a case of the review: a small deployment of the project's programs
// with stand-ins of the platform's store, the runners and the clients. It exits with 1 if a
// rule was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*site) (int, error){"poison": runPoison, "part": runPart, "memory": runMemory, "quiet": runQuiet, "fields": runFields}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, record string) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	if binary, err = filepath.Abs(binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s := &site{megabytes: 284, dir: dir, binary: binary, trouble: os.Getenv("TROUBLE") != "0", workTime: 20 * time.Millisecond, out: out, start: time.Now()}
	defer s.stop()
	type outcome struct {
		code int
		err  error
	}
	ended := make(chan outcome, 1)
	go func() {
		code, err := cases[name](s)
		ended <- outcome{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var code int
	select {
	case o := <-ended:
		code, err = o.code, o.err
	case sig := <-signals:
		err = fmt.Errorf("ended by %v", sig)
	}
	if err == nil && s.failure() != "" {
		err = fmt.Errorf("a stand-in failed: %s", s.failure())
	}
	if err != nil {
		s.record("error", "", err.Error())
		fmt.Println("could not run:", err)
		return failed
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken"}[code]
	s.record("result", "", text)
	fmt.Println(text)
	return code
}
