//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxLateWithPart = 3
	fifthCrash      = 5
)

// runQuiet lets requests with a part that crashes runners come while few others with prompts do.
func runQuiet(s *site) (int, error) {
	var mu sync.Mutex
	var crashes []time.Time
	s.workTime = 100 * time.Millisecond
	if err := s.build(3, 2, 2, 1); err != nil {
		return failed, err
	}
	arrivals := map[string]time.Time{}
	s.arrived = func(r *http.Request) {
		if strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart) {
			mu.Lock()
			defer mu.Unlock()
			arrivals[r.Header.Get("X-Request-Id")] = time.Now()
		}
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
	end := time.Now().Add(85 * time.Second)
	var wg sync.WaitGroup
	each := func(pause time.Duration, f func(n int)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
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
	each(100*time.Millisecond, func(n int) {
		s.send(s.gateways[n%3], request{id: fmt.Sprint("order-", n), method: http.MethodPost, path: "/order/x", key: "key-of-hule930", body: fmt.Sprint("order ", n), deadline: 2500 * time.Millisecond})
	})
	each(10*time.Second, func(n int) {
		s.send(s.gateways[n%3], talk(fmt.Sprint("sound-", n), "key-of-hule930", fmt.Sprintf("%s:40,%s:400,f%07x:200", firstPart, sharedPart, n)))
	})
	each(1500*time.Millisecond, func(n int) {
		s.send(s.gateways[n%3], talk(fmt.Sprint("deadly-", n), "key-of-hule930", fmt.Sprintf("%s:40,%s:400,d%07x:200", firstPart, deadlyPart, n)))
	})
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= fifthCrash {
		for _, at := range arrivals {
			if at.After(crashes[fifthCrash-1].Add(contact)) {
				late++
			}
		}
	}
	s.record("count", "", fmt.Sprintf("%d crashes; later than contact_ms after the fifth, %d requests with the part have reached runners, %d are allowed", len(crashes), late, maxLateWithPart))
	if len(arrivals) == 0 || s.trouble && len(crashes) == 0 {
		return failed, fmt.Errorf("%d requests with the part have reached runners, %d runners have crashed", len(arrivals), len(crashes))
	}
	if late > maxLateWithPart {
		return broken, nil
	}
	return held, nil
}
