//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// machineMegabytes is the memory of the smaller frontend machines of the larger sites.
	machineMegabytes = 184
	// largeBody is max_body_bytes of the configuration.
	largeBody = 4194304
	// largeCallers send bodies of that size in one piece, and holdingCallers send a body slowly.
	largeCallers   = 40
	holdingCallers = 1560
	crowdTime      = 45 * time.Second
)

// readMemory returns the private resident memory of a process and the peak of all its resident
// memory, in megabytes.
func (p *process) readMemory() (private, peak int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	read := func(name string) int64 {
		_, text, _ := strings.Cut(string(data), name+":")
		kilobytes := int64(0)
		_, _ = fmt.Sscan(text, &kilobytes)
		return kilobytes >> 10
	}
	return read("RssAnon"), read("VmHWM")
}

// runMemory lets a crowd send requests of legal size, some large and some slowly.
func runMemory(s *site) (int, error) {
	s.megabytes, s.oneProcessor = machineMegabytes, true
	if err := s.build(1, 1, 2, 3); err != nil {
		return failed, err
	}
	if !s.awaitReady() {
		return failed, errNotReady
	}
	time.Sleep(contact + time.Second)
	g := s.gateways[0]
	addr := fmt.Sprintf("%s:%d", g.host, frontPort)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	isStopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	repeat := func(pause time.Duration, f func(n int)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !isStopped(); n++ {
				f(n)
				time.Sleep(pause)
			}
		}()
	}
	// Ordinary clients, one of which sends a large body at times.
	for i := range 4 {
		repeat(200*time.Millisecond, func(n int) { s.tryConnection(addr, fmt.Sprintf("ordinary-%d-%d", i, n)) })
	}
	body := make([]byte, largeBody)
	repeat(time.Second, func(n int) { s.sendLarge(addr, fmt.Sprint("large-ordinary-", n), body) })
	if s.trouble {
		s.record("crowd", "", fmt.Sprintf("%d callers with large bodies and %d that send slowly begin", largeCallers, holdingCallers))
		for i := range largeCallers {
			repeat(200*time.Millisecond, func(n int) { s.sendLarge(addr, fmt.Sprintf("large-%d-%d", i, n), body) })
		}
		for i := range holdingCallers {
			repeat(300*time.Millisecond, func(int) { holdRequest(addr, i, isStopped) })
		}
	}
	private, peak := int64(0), int64(0)
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && !g.hasEnded(); time.Sleep(20 * time.Millisecond) {
		now, resident := g.readMemory()
		if resident > peak && resident > machineMegabytes {
			s.record("memory", g.host, fmt.Sprintf("%d MB", resident))
		}
		private, peak = max(private, now), max(peak, resident)
	}
	ended := g.hasEnded()
	close(stop)
	wg.Wait()
	s.record("count", "", fmt.Sprintf("resident memory of the gateway up to %d MB, %d MB of it private, of %d MB; it has ended: %v", peak, private, machineMegabytes, ended))
	if peak > machineMegabytes || ended {
		return broken, nil
	}
	return held, nil
}

// sendLarge sends a body of the largest size that is allowed.
func (s *site) sendLarge(addr, id string, body []byte) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	_, err = fmt.Fprintf(c, "POST /form/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Note: %s\r\nContent-Length: %d\r\n\r\n", id, strings.Repeat("n", 2000), len(body))
	if err != nil {
		return
	}
	go func() { _, _ = c.Write(body) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.record("no answer", id, err.Error())
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	s.record("answered", id, resp.Status)
}

// holdRequest sends a head with a field of many short parts, most of a small body, and the rest
// of it slowly.
func holdRequest(addr string, i int, isStopped func() bool) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	parts := 3000
	if i%16 == 0 {
		parts = 8000
	}
	_, err = fmt.Fprintf(c, "POST /form/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: c\r\nX-Prompt-Prefix: %s\r\nContent-Length: 4000\r\n\r\n%s",
		strings.Repeat("1,", parts), strings.Repeat("x", 3900))
	if err != nil {
		return
	}
	for n := 0; n < 99 && !isStopped(); n++ {
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(crowdPause)
	}
}
