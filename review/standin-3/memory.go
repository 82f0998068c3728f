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
	"sync/atomic"
	"time"
)

const (
	// machineMegabytes and linkMbits are of the smaller frontend machines of the larger sites. All
	// clients together send a little less than the link carries.
	machineMegabytes = 184
	linkMbits        = 40
	pacedMbits       = 38
	// packetBytes is added to each piece for the heads of its packets.
	packetBytes = 60
	// largeBody is max_body_bytes of the configuration.
	largeBody = 4194304
	// largeCallers send bodies of that size in a round, and slowCallers send a body slowly.
	largeCallers = 7
	slowCallers  = 1550
	partsOfField = 2100
	rounds       = 5
	// lastBytes of a large body are sent slowly until all large bodies are there.
	lastBytes = 20
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

// pacer paces what all clients send to one machine.
type pacer struct {
	mu   sync.Mutex
	free time.Time
	// sent counts bytes, and second those of the current second.
	sent, second int64
	secondEnds   time.Time
	// most is the most that was sent in a second.
	most int64
	// served counts the large bodies that were answered with 200.
	served atomic.Int64
}

func (l *pacer) write(c net.Conn, p []byte) error {
	const piece = 16 << 10
	for len(p) > 0 {
		n := min(len(p), piece)
		l.take(int64(n + packetBytes))
		if _, err := c.Write(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

func (l *pacer) take(n int64) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n*8) * time.Microsecond / pacedMbits)
	at := l.free
	if at.After(l.secondEnds) {
		l.second, l.secondEnds = 0, at.Add(time.Second)
	}
	l.sent += n
	l.second += n
	l.most = max(l.most, l.second)
	l.mu.Unlock()
	time.Sleep(time.Until(at))
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
	l := &pacer{}
	began := time.Now()
	stop := make(chan struct{})
	var ordinary sync.WaitGroup
	for i := range 4 {
		ordinary.Add(1)
		go func() {
			defer ordinary.Done()
			for n := 0; ; n++ {
				s.tryConnection(addr, fmt.Sprintf("ordinary-%d-%d", i, n))
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
			}
		}()
	}
	callers, slow := largeCallers, slowCallers
	if !s.trouble {
		callers, slow = 1, 0
	}
	for n := range rounds {
		s.record("round", "", fmt.Sprintf("%d callers with large bodies and %d that send slowly", callers, slow))
		s.runRound(addr, n, callers, slow, l)
		private, peak := g.readMemory()
		s.record("memory", g.host, fmt.Sprintf("resident up to %d MB, private now %d MB", peak, private))
		if g.hasEnded() {
			break
		}
	}
	_, peak := g.readMemory()
	ended := g.hasEnded()
	close(stop)
	ordinary.Wait()
	s.record("count", "", fmt.Sprintf("resident memory up to %d of %d MB; ended: %v; sent to the machine: %.1f Mbit/s on average, %.1f in the busiest second, of %d",
		peak, machineMegabytes, ended, float64(l.sent)*8/1e6/time.Since(began).Seconds(), float64(l.most)*8/1e6, linkMbits))
	if l.served.Load() == 0 && !ended {
		return failed, fmt.Errorf("no large body was served")
	}
	if peak > machineMegabytes || ended {
		return broken, nil
	}
	return held, nil
}

// runRound sends large bodies, which end together, beside requests whose bodies are sent slowly.
func (s *site) runRound(addr string, round, callers, slow int, l *pacer) {
	var wg, arrived sync.WaitGroup
	end := make(chan struct{})
	for range slow {
		wg.Add(1)
		go func() {
			defer wg.Done()
			holdRequest(addr, end, l)
		}()
	}
	for i := range callers {
		wg.Add(1)
		arrived.Add(1)
		go func() {
			defer wg.Done()
			s.sendLarge(addr, fmt.Sprintf("large-%d-%d", round, i), arrived.Done, end, l)
		}()
	}
	arrived.Wait()
	close(end)
	wg.Wait()
}

// sendLarge sends a body of the largest size that is allowed. It calls arrived when nearly all of it
// is sent, and sends the end slowly until end is closed.
func (s *site) sendLarge(addr, id string, arrived func(), end <-chan struct{}, l *pacer) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		defer func() { _ = c.Close() }()
		head := fmt.Sprintf("POST /form/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Note: %s\r\nContent-Length: %d\r\n\r\n", id, strings.Repeat("n", 2000), largeBody)
		err = l.write(c, []byte(head+strings.Repeat("x", largeBody-lastBytes)))
	}
	arrived()
	left := lastBytes
	for isWaiting := true; err == nil && isWaiting && left > 1; {
		select {
		case <-end:
			isWaiting = false
		case <-time.After(500 * time.Millisecond):
			left--
			err = l.write(c, []byte("x"))
		}
	}
	if err == nil {
		err = l.write(c, []byte(strings.Repeat("x", left)))
	}
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			s.record("answered", id, resp.Status)
			if resp.StatusCode == http.StatusOK {
				l.served.Add(1)
			}
		}
	}
	if err != nil {
		s.record("no answer", id, err.Error())
	}
}

// holdRequest sends a head with a field of many short parts, and a body byte by byte until end is
// closed.
func holdRequest(addr string, end <-chan struct{}, l *pacer) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	text := fmt.Sprintf("POST /form/x HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: c\r\nX-Prompt-Prefix: %s\r\nContent-Length: 100\r\n\r\nx", strings.Repeat("1,", partsOfField))
	if l.write(c, []byte(text)) != nil {
		return
	}
	for n := 0; n < 90; n++ {
		select {
		case <-end:
			// The connection ends after the large bodies.
			time.Sleep(500 * time.Millisecond)
			return
		case <-time.After(700 * time.Millisecond):
		}
		if l.write(c, []byte("x")) != nil {
			return
		}
	}
}
