//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

var errNotReady = errors.New("the gateways did not get ready")

// runs counts what reaches the runners.
type runs struct {
	mu sync.Mutex
	// at holds when each request reached a runner first.
	at map[string]time.Time
	// crashes holds when a runner has crashed.
	crashes []time.Time
}

func (s *site) newRuns() *runs {
	rs := &runs{at: map[string]time.Time{}}
	return rs
}

const (
	maxLateRetries = 3
	thirdCrash     = 3
)

// runPoison lets a request come again and again that crashes each runner that runs it. All
// gateways are killed at one moment, and start again.
func runPoison(s *site) (int, error) {
	rs := s.newRuns()
	s.deadly = nil
	if err := s.build(3, 1, 2, 3); err != nil {
		return failed, err
	}
	killsAll := s.trouble
	// The request is there in both runs; the kill of all gateways is the disruption.
	s.trouble = true
	s.deadly = func(r *http.Request, body string) bool {
		if body != "deadly" {
			return false
		}
		rs.mu.Lock()
		defer rs.mu.Unlock()
		rs.at[r.Header.Get("X-Request-Id")] = time.Now()
		rs.crashes = append(rs.crashes, time.Now())
		return true
	}
	if !s.awaitReady() {
		return failed, errNotReady
	}
	time.Sleep(contact + time.Second)
	s.workTime = 100 * time.Millisecond
	n, lost := 0, 0
	order := func(id, body string) request {
		return request{id: id, method: http.MethodPost, path: "/order/x", key: "key-of-hule930", body: body, deadline: 2500 * time.Millisecond}
	}
	phase := 0
	sendFor := func(d time.Duration) {
		phase++
		var wg sync.WaitGroup
		end := time.Now().Add(d)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := fmt.Sprintf("sound-%d-%d", phase, i)
					if res := s.send(s.gateways[i%len(s.gateways)], order(id, id)); res.status == http.StatusBadGateway {
						rs.mu.Lock()
						defer rs.mu.Unlock()
						lost++
					}
				}()
				time.Sleep(60 * time.Millisecond)
			}
		}()
		for time.Now().Before(end) {
			n++
			s.send(s.gateways[n%len(s.gateways)], order(fmt.Sprint("deadly-", n), "deadly"))
			time.Sleep(time.Second)
		}
		wg.Wait()
	}
	sendFor(20 * time.Second)
	if killsAll {
		s.record("kill", "", "all gateways")
		for _, g := range s.gateways {
			_ = g.cmd.Process.Kill()
		}
		for _, g := range s.gateways {
			<-g.ended
		}
		time.Sleep(time.Second)
		for _, g := range s.gateways {
			if err := s.run(g); err != nil {
				return failed, err
			}
		}
		s.record("start", "", "all gateways")
		if !s.awaitReady() {
			return failed, errNotReady
		}
		s.record("ready", "", "all gateways")
	}
	// All gateways are in touch from here on.
	time.Sleep(contact + time.Second)
	sendFor(42 * time.Second)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if len(rs.crashes) < thirdCrash {
		return failed, fmt.Errorf("the request has crashed %d runners only", len(rs.crashes))
	}
	late := []string{}
	for id, at := range rs.at {
		if at.After(rs.crashes[thirdCrash-1].Add(contact)) {
			late = append(late, id)
		}
	}
	s.record("count", "", fmt.Sprintf("%d crashes; later than contact_ms after the third, the request has reached runners in %d retries, %d are allowed: %s; %d sound orders were lost at the runners that crashed",
		len(rs.crashes), len(late), maxLateRetries, strings.Join(late, " "), lost))
	if len(late) > maxLateRetries {
		return broken, nil
	}
	return held, nil
}
