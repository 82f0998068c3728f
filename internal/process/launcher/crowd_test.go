package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"siskinfall/internal/standin/checker"
	"siskinfall/internal/standin/starter"
)

// The crowd and the bounds of an entry whose callers misbehave.
const (
	crowdMegabytes   = 96
	crowdDescriptors = 320
	crowdConns       = 400
	crowdBodyBytes   = 1 << 20
	// crowdTime is how long the crowd goes on.
	crowdTime = 2 * time.Second
)

// sendAlmostAll sends all but the last byte of a body, and waits until the connection is closed.
func sendAlmostAll(addr, path string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * crowdTime))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, starter.DemoKey, crowdBodyBytes)
	if _, err := conn.Write(make([]byte, crowdBodyBytes-1)); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// TestCrowdEndsNoEntry guards against an entry that runs out of memory or descriptors with
// bodies that stop before their end.
func TestCrowdEndsNoEntry(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	cfg := f.newSettings("entry-3")
	cfg.Entry.PollInterval, cfg.Entry.SyncInterval, cfg.Entry.Heartbeat = 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
	cfg.Entry.Memory, cfg.Entry.Descriptors = crowdMegabytes, crowdDescriptors
	f.startProcess("entry-3", "entry", cfg.Listen.Peers)
	f.waitRouted("entry-3", 3)
	pid := f.procs["entry-3"].Process.Pid
	var wg sync.WaitGroup
	start := time.Now()
	for i := range crowdConns {
		wg.Go(func() {
			for time.Since(start) < crowdTime {
				sendAlmostAll(cfg.Listen.Callers.String(), []string{"/v1/chat/completions", "/desk/x"}[i%2])
			}
		})
	}
	descriptors := 0
	for time.Since(start) < crowdTime {
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		c.Assert(err, qt.IsNil)
		descriptors = max(descriptors, len(list))
		time.Sleep(5 * time.Millisecond)
	}
	f.wait(func() error {
		o := f.client.Do(context.Background(), cfg.Listen.Callers, checker.Call{Kind: checker.KindStream, Service: "assistant-llm", Payload: "after", Tokens: 3})
		if !o.IsAnswered() {
			return fmt.Errorf("status %d: %w", o.Status, o.Err)
		}
		return nil
	})
	wg.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	c.Assert(err, qt.IsNil)
	_, text, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes := 0
	_, err = fmt.Sscan(text, &kilobytes)
	c.Assert(err, qt.IsNil)
	c.Logf("peak %d MB of %d, %d descriptors of %d", kilobytes>>10, crowdMegabytes, descriptors, crowdDescriptors)
	c.Check(kilobytes>>10 < crowdMegabytes, qt.IsTrue)
	c.Check(descriptors < crowdDescriptors, qt.IsTrue)
}
