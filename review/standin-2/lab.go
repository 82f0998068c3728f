//go:build review

// Standin-2 plays the cases of the second review: it starts gateways beside stand-ins of the
// platform's store, of runners and of clients, which are in this process.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// lab is the state of a case.
type lab struct {
	binary, dir string
	// trouble is false if the disruption is left out.
	trouble  bool
	store    *store
	gateways []*gateway
	mu       sync.Mutex
	record   *os.File
	started  time.Time
}

var cases = map[string]func(l *lab) (held bool, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE BINARY RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, record string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l := &lab{binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	if l.binary, err = filepath.Abs(binary); err == nil {
		l.record, err = os.Create(record)
	}
	if err == nil {
		l.store, err = newStore()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.killAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.note("the case was ended by a signal")
		l.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	held, err := checkDescriptors()
	if err == nil {
		held, err = play(l)
	}
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return 2
	case !held:
		l.note("result: the rule was broken")
		return 1
	}
	l.note("result: the rule held")
	return 0
}

// killAll ends the gateways.
func (l *lab) killAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range l.gateways {
		g.kill()
	}
}

// minDescriptors is the number of open files that the largest crowd needs.
const minDescriptors = 6000

// checkDescriptors returns an error if this process may not open enough connections.
func checkDescriptors() (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return false, err
	}
	if limit.Cur < minDescriptors {
		return false, fmt.Errorf("%d open files are allowed, %d are needed", limit.Cur, minDescriptors)
	}
	return true, nil
}

// awaitServed waits until a gateway answers a request with 200.
func (l *lab) awaitServed(g *gateway, method, path, body string) error {
	for n := range 50 {
		if send(g.callers, method, path, fmt.Sprintf("first-%s-%d", g.name, n), body, 2500*time.Millisecond).status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s serves no request", g.name)
}

// note writes a line to the record and to standard output.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = l.record.WriteString(line)
}

// startGateway starts a gateway and waits until it is ready.
func (l *lab) startGateway(name, zone string, m machine) (*gateway, error) {
	g, err := newGateway(l.dir, name, zone, l.store.addr, m)
	if err != nil {
		return nil, err
	}
	if err := g.start(l.binary); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.gateways = append(l.gateways, g)
	l.mu.Unlock()
	if !g.awaitReady(20 * time.Second) {
		return nil, fmt.Errorf("gateway %s does not get ready", name)
	}
	return g, nil
}
