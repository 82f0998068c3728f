//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The parts of prompts.
const (
	deadlyPart = "d0d0d0d0"
	firstPart  = "a0a0a0a0"
	// sharedPart is in the requests with the deadly part and in sound ones of the same caller.
	sharedPart = "b0b0b0b0"
)

// outcome is what became of the first attempt of a sound request of the caller.
type outcome struct {
	at    time.Time
	begun bool
}

// runPart lets requests come with a part that crashes each runner that begins to answer.
func runPart(s *site) (int, error) {
	var mu sync.Mutex
	var crashes []time.Time
	var sound []outcome
	// The first event of a stream comes after some 100 ms in calm.
	s.workTime = 100 * time.Millisecond
	if err := s.build(3, 2, 2, 1); err != nil {
		return failed, err
	}
	s.deadly = func(r *http.Request, _ string) bool {
		if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart) {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
		return true
	}
	if !s.awaitReady() {
		return failed, errNotReady
	}
	time.Sleep(contact + time.Second)
	// The requests with the deadly part come for 26 s.
	end := time.Now().Add(40 * time.Second)
	var wg sync.WaitGroup
	each := func(pause time.Duration, from time.Duration, f func(n int)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(from)
			for n := 0; time.Now().Before(end); n++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					f(n)
				}()
				time.Sleep(pause)
			}
		}()
	}
	talk := func(id, key, parts string) request {
		return request{id: id, method: http.MethodPost, path: "/talk/x", key: key, body: id, parts: parts, deadline: 8 * time.Second}
	}
	// Another caller's requests, at two gateways.
	each(70*time.Millisecond, 0, func(n int) {
		s.send(s.gateways[n%2*2], talk(fmt.Sprint("other-", n), "key-of-other", fmt.Sprintf("%s:40,c%07x:400,e%07x:200", firstPart, n%20, n)))
	})
	// Sound requests of the caller, whose connections go to one gateway.
	each(500*time.Millisecond, 0, func(n int) {
		at := time.Now()
		res := s.send(s.gateways[1], talk(fmt.Sprint("sound-", n), "key-of-hule930", fmt.Sprintf("%s:40,%s:400,f%07x:200", firstPart, sharedPart, n)))
		mu.Lock()
		defer mu.Unlock()
		sound = append(sound, outcome{at, res.begun})
	})
	// The requests with the deadly part, no two alike, come to another one.
	const deadlyFrom = 14*time.Second + 150*time.Millisecond
	began := time.Now().Add(deadlyFrom)
	var lastSent time.Time
	each(2*time.Second, deadlyFrom, func(n int) {
		for i := range 3 {
			mu.Lock()
			lastSent = time.Now()
			mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.send(s.gateways[0], talk(fmt.Sprintf("deadly-%d-%d", n, i), "key-of-hule930", fmt.Sprintf("%s:40,%s:400,d%06x%d:200", deadlyPart, sharedPart, n, i)))
			}()
			time.Sleep(70 * time.Millisecond)
		}
	})
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	from := began
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1]
	}
	from = from.Add(2 * contact)
	count := func(from, to time.Time) (n, begun int) {
		for _, o := range sound {
			if o.at.Before(from) || !o.at.Before(to) {
				continue
			}
			n++
			if o.begun {
				begun++
			}
		}
		return n, begun
	}
	before, begunBefore := count(time.Time{}, began)
	after, begunAfter := count(from, lastSent)
	s.record("count", "", fmt.Sprintf("%d crashes; sound requests of the caller that began at the first attempt: before %d of %d; from 2 x contact_ms after the last crash or the fifth %d of %d",
		len(crashes), begunBefore, before, begunAfter, after))
	if s.trouble && len(crashes) == 0 {
		return failed, fmt.Errorf("no runner has crashed")
	}
	if before < 20 || begunBefore < before/2 || after < 20 {
		return failed, fmt.Errorf("too few sound requests: %d of %d before, %d after", begunBefore, before, after)
	}
	if float64(begunAfter)/float64(after) < float64(begunBefore)/float64(before)/2 {
		return broken, nil
	}
	return held, nil
}
