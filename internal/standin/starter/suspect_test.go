package starter

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"siskinfall/internal/standin/checker"
)

// slowNetwork returns an option that delays what agents answer, each message by another
// time, and what entry instances send to each other.
func slowNetwork(c *qt.C) Option {
	logrus.SetLevel(logrus.FatalLevel)
	return WithAdvertise(func(name string, addr netip.AddrPort) netip.AddrPort {
		toxic := `{"type": "latency", "stream": "downstream", "attributes": {"latency": 40, "jitter": 40}}`
		if strings.HasPrefix(name, "entry") {
			toxic = `{"type": "latency", "stream": "upstream", "attributes": {"latency": 80}}`
		}
		proxy := toxiproxy.NewProxy()
		proxy.Name, proxy.Listen, proxy.Upstream = name, "127.0.0.1:0", addr.String()
		c.Assert(proxy.Start(), qt.IsNil)
		c.Cleanup(proxy.Stop)
		_, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
		c.Assert(err, qt.IsNil)
		return netip.MustParseAddrPort(proxy.Listen)
	})
}

func (f *Fleet) countCrashes() int {
	n := 0
	for _, p := range f.Processes {
		if p.Backend != nil {
			n += p.Backend.GetCrashes()
		}
	}
	return n
}

// TestCulpritIsKnownToAllEntriesBeforeItsCallerIsAnswered guards against an entry that sends a
// poison request once more, since the report of the one that found it is still on its way.
func TestCulpritIsKnownToAllEntriesBeforeItsCallerIsAnswered(t *testing.T) {
	c := qt.New(t)
	const entries, requests = 3, 12
	f := newFleet(c, entries, 6, slowNetwork(c))
	client := checker.NewClient(DemoKey)
	for n := range requests {
		before := f.countCrashes()
		for send := range entries {
			call := newStreamCall(fmt.Sprint(poisonText, " ", n), 5)
			out := client.Do(context.Background(), f.callersAddr(fmt.Sprint("entry-", (n+send)%entries)), call)
			c.Assert(out.IsAnswered(), qt.IsFalse)
		}
		c.Check(f.countCrashes()-before <= 2, qt.IsTrue, qt.Commentf("request %d: %d crashes", n, f.countCrashes()-before))
	}
}

// TestEntryThatStartsKnowsCulprits guards against an entry that was not there when culprits
// were found, and whose agents report only the suspects of their latest crash.
func TestEntryThatStartsKnowsCulprits(t *testing.T) {
	c := qt.New(t)
	const requests = 24
	f := newFleet(c, 2, 6)
	client := checker.NewClient(DemoKey)
	send := func(entry string, n int) *checker.Outcome {
		return client.Do(context.Background(), f.callersAddr(entry), newStreamCall(fmt.Sprint(poisonText, " ", n), 5))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for n := range requests {
		// Servers that have crashed are busy until they were seen again.
		c.Assert(WaitFor(ctx, func() error {
			if out := send("entry-0", n); out.Code != "request_crashes_backend" {
				return errors.New(out.Code)
			}
			return nil
		}), qt.IsNil)
	}
	late, err := f.AddEntry("entry-late", "zone-0")
	c.Assert(err, qt.IsNil)
	c.Assert(f.WaitRouted(ctx, late, 6), qt.IsNil)
	before := f.countCrashes()
	for n := range requests {
		out := send("entry-late", n)
		c.Check(out.Code, qt.Equals, "request_crashes_backend")
		c.Check(out.Execution, qt.Equals, "not_run")
	}
	c.Assert(f.countCrashes(), qt.Equals, before)
}
