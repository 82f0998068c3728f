//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// crowdCallers send bodies slowly: one byte each crowdPause.
	crowdCallers = 2400
	crowdPause   = 400 * time.Millisecond
	// ordinaryClients try a new connection each tryPause.
	ordinaryClients = 8
	minClients      = 7
	tryPause        = 250 * time.Millisecond
)

// try is what a client got on a new connection.
type try struct {
	at     time.Time
	client int
	// answered is whether any answer came.
	answered bool
}

// runCrowd lets a crowd send bodies of legal size very slowly to a public route.
func runCrowd(s *site) (int, error) {
	if err := s.build(1, 1, 2, 3); err != nil {
		return failed, err
	}
	if !s.awaitReady() {
		return failed, errNotReady
	}
	time.Sleep(contact + time.Second)
	g := s.gateways[0]
	addr := fmt.Sprintf("%s:%d", g.host, frontPort)
	var mu sync.Mutex
	var tries []try
	var notReady []time.Time
	stop := make(chan struct{})
	var wg sync.WaitGroup
	isStopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	for i := range ordinaryClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !isStopped(); n++ {
				at := time.Now()
				ok := s.tryConnection(addr, fmt.Sprintf("ordinary-%d-%d", i, n))
				mu.Lock()
				tries = append(tries, try{at, i, ok})
				mu.Unlock()
				time.Sleep(tryPause)
			}
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for ; !isStopped(); time.Sleep(time.Second) {
			if !g.isReady() {
				mu.Lock()
				notReady = append(notReady, time.Now())
				mu.Unlock()
				s.record("not ready", g.host, "")
			}
		}
	}()
	time.Sleep(6 * time.Second)
	began := time.Now()
	if s.trouble {
		s.record("crowd", "", fmt.Sprintf("%d callers begin", crowdCallers))
		for range crowdCallers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for !isStopped() {
					sendSlowly(addr, isStopped)
					time.Sleep(time.Second)
				}
			}()
		}
	}
	time.Sleep(40 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if g.hasEnded() {
		s.record("ended", g.host, "the process has ended")
		return broken, nil
	}
	longest, code := time.Duration(0), held
	// Spans without an answer, between two moments at which a client got one.
	lastOK, clients := began, map[int]bool{}
	check := func(until time.Time) {
		span := until.Sub(lastOK)
		ready := true
		for _, t := range notReady {
			ready = ready && (t.Before(lastOK) || t.After(until))
		}
		longest = max(longest, span)
		if span > contact && len(clients) >= minClients && ready {
			code = broken
		}
	}
	for _, t := range sorted(tries) {
		if t.at.Before(began) {
			continue
		}
		if t.answered {
			check(t.at)
			lastOK, clients = t.at, map[int]bool{}
			continue
		}
		clients[t.client] = true
		check(t.at)
	}
	s.record("count", "", fmt.Sprintf("longest time in which the gateway took no new connection: %v; not ready %d times", longest, len(notReady)))
	return code, nil
}

func sorted(list []try) []try {
	for i := range list {
		for j := i; j > 0 && list[j].at.Before(list[j-1].at); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	return list
}

// tryConnection sends a request on a new connection and reports whether an answer came.
func (s *site) tryConnection(addr, id string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		s.record("no answer", id, err.Error())
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	_, err = fmt.Fprintf(c, "GET /status/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token key-of-hule930\r\n\r\n", id)
	if err != nil {
		s.record("no answer", id, err.Error())
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.record("no answer", id, err.Error())
		return false
	}
	s.record("answered", id, resp.Status)
	return true
}

// sendSlowly sends a body byte by byte until the connection ends.
func sendSlowly(addr string, isStopped func() bool) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "POST /form/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: c\r\nContent-Length: 3000\r\n\r\n"); err != nil {
		return
	}
	for !isStopped() {
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(crowdPause)
	}
}
