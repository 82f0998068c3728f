package launcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"go.yaml.in/yaml/v3"

	entry "siskinfall/internal/entry/server"
	"siskinfall/internal/operator/caller"
	"siskinfall/internal/routing/tracker"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/checker"
	"siskinfall/internal/standin/responder"
	"siskinfall/internal/standin/starter"
	"siskinfall/internal/store/storer"
)

// shutdownStreams is the number of concurrent streams during a shutdown.
const shutdownStreams = 200

// fleet is a set of real processes on one host. Agents are behind TCP proxies.
type fleet struct {
	*qt.C
	dir      string
	platform netip.AddrPort
	settings map[string]*loader.Settings
	procs    map[string]*exec.Cmd
	proxies  map[string]*toxiproxy.Proxy
	backends map[string]netip.AddrPort
	client   *checker.Client
}

func startFleet(c *qt.C) *fleet {
	logrus.SetLevel(logrus.FatalLevel)
	f := &fleet{
		C: c, dir: c.TempDir(), settings: make(map[string]*loader.Settings), procs: make(map[string]*exec.Cmd),
		proxies: make(map[string]*toxiproxy.Proxy), backends: make(map[string]netip.AddrPort), client: checker.NewClient(starter.DemoKey),
	}
	for _, name := range []string{"siskinfall", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(f.dir, name), "siskinfall/cmd/"+name)
		out, err := build.CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	}
	f.platform = f.freePort()
	f.startProgram("platform", "standin", "platform", "--listen", f.platform.String())
	c.Cleanup(f.close)
	f.wait(func() error { return f.get("http://"+f.platform.String()+"/counts", nil) })
	for i, service := range []string{"assistant-llm", "assistant-llm", "member-desk"} {
		f.startAgent(fmt.Sprintf("agent-%d", i+1), service)
	}
	f.startEntry("entry-1")
	f.startEntry("entry-2")
	ticket := filepath.Join(f.dir, "ticket.yaml")
	c.Assert(os.WriteFile(ticket, []byte(processTicket), 0o600), qt.IsNil)
	f.waitRouted("entry-1", 0)
	out, err := exec.Command(filepath.Join(f.dir, "siskinfall"), "ticket", "apply", "--wait", "5s",
		"--admin", f.settings["entry-1"].Listen.Admin.String(), ticket).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	f.waitRouted("entry-1", 3)
	f.waitRouted("entry-2", 3)
	return f
}

func (f *fleet) freePort() netip.AddrPort {
	addr, err := starter.FreePort()
	f.Assert(err, qt.IsNil)
	return addr
}

// startProgram starts a process whose output goes to a file.
func (f *fleet) startProgram(name, program string, args ...string) {
	logFile, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	f.Assert(err, qt.IsNil)
	cmd := exec.Command(filepath.Join(f.dir, program), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	f.Assert(cmd.Start(), qt.IsNil)
	f.procs[name] = cmd
}

func (f *fleet) startBackend(name string) {
	f.startProgram("backend-"+name, "standin", "backend", "--listen", f.backends[name].String(), "--token-delay", "10ms")
}

func (f *fleet) startAgent(name, service string) {
	f.backends[name] = f.freePort()
	f.startBackend(name)
	cfg := f.newSettings(name)
	cfg.Agent.Service, cfg.Agent.Backend, cfg.Agent.Concurrency = service, f.backends[name], 256
	cfg.Agent.HealthInterval = 100 * time.Millisecond
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = name, "127.0.0.1:0", cfg.Listen.Peers.String()
	f.Assert(proxy.Start(), qt.IsNil)
	f.proxies[name] = proxy
	f.startProcess(name, tracker.RoleAgent, netip.MustParseAddrPort(proxy.Listen))
}

func (f *fleet) startEntry(name string) {
	cfg := f.newSettings(name)
	cfg.Entry.PollInterval = 200 * time.Millisecond
	cfg.Entry.SyncInterval = 200 * time.Millisecond
	cfg.Entry.Heartbeat = 200 * time.Millisecond
	f.startProcess(name, tracker.RoleEntry, cfg.Listen.Peers)
}

func (f *fleet) newSettings(name string) *loader.Settings {
	cfg := loader.NewSettings()
	cfg.Instance, cfg.Platform.Address = name, f.platform
	cfg.Listen = loader.Listen{Callers: f.freePort(), Admin: f.freePort(), Peers: f.freePort()}
	f.settings[name] = cfg
	return cfg
}

// startProcess starts an entry instance or an agent, and registers it with the
// platform under addr.
func (f *fleet) startProcess(name, role string, addr netip.AddrPort) {
	data, err := yaml.Marshal(f.settings[name])
	f.Assert(err, qt.IsNil)
	path := filepath.Join(f.dir, name+".yaml")
	f.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
	f.startProgram(name, "siskinfall", role, "--settings", path)
	f.registerInstance(storer.Instance{Name: name, Role: role, Zone: f.settings[name].Zone, Address: addr})
}

func (f *fleet) registerInstance(instance storer.Instance) {
	body, err := json.Marshal(instance)
	f.Assert(err, qt.IsNil)
	f.put("http://"+f.platform.String()+"/instances", body)
}

func (f *fleet) put(url string, body []byte) {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	f.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	f.Assert(err, qt.IsNil)
	f.Assert(resp.Body.Close(), qt.IsNil)
}

func (f *fleet) get(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func (f *fleet) wait(get func() error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f.Assert(starter.WaitFor(ctx, get), qt.IsNil)
}

// waitRouted waits until an entry instance routes to n agents.
func (f *fleet) waitRouted(name string, n int) {
	client := caller.NewClient(f.settings[name].Listen.Admin, "")
	f.wait(func() error { return starter.CheckRouted(context.Background(), client, name, n) })
}

func (f *fleet) close() {
	for _, cmd := range f.procs {
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
	}
	for _, proxy := range f.proxies {
		proxy.Stop()
	}
}

// runStreams starts n streams, calls whileRunning when the backend servers run all
// of them, and returns their results.
func (f *fleet) runStreams(entry string, n int, whileRunning func()) []*checker.Outcome {
	results := make([]*checker.Outcome, n)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			results[i] = f.client.Do(context.Background(), f.settings[entry].Listen.Callers, checker.Call{
				Kind: checker.KindStream, Service: "assistant-llm", Payload: fmt.Sprintf("%s stream %d", entry, i), Tokens: 150,
			})
		})
	}
	f.wait(func() error { return f.checkRunning(n) })
	whileRunning()
	wg.Wait()
	return results
}

// checkRunning reports an error unless the backend servers run n requests.
func (f *fleet) checkRunning(n int) error {
	running := 0
	for _, addr := range f.backends {
		var h responder.Load
		if err := f.get("http://"+addr.String()+"/load", &h); err != nil {
			return err
		}
		running += h.Running
	}
	if running < n {
		return fmt.Errorf("%d of %d requests are running", running, n)
	}
	return nil
}

// assertComplete asserts that every stream was answered with its whole body.
func (f *fleet) assertComplete(results []*checker.Outcome) {
	f.Helper()
	for _, r := range results {
		f.Assert(r.Err, qt.IsNil)
		f.Assert(r.Body, qt.Equals, responder.ExpectedStream(checker.Messages(r.Payload), r.Tokens), qt.Commentf("status %d", r.Status))
	}
}

// terminate sends SIGTERM and returns a function that waits for exit code 0.
func (f *fleet) terminate(name string) (waitExit func()) {
	cmd := f.procs[name]
	f.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	return func() {
		f.Assert(cmd.Wait(), qt.IsNil)
		delete(f.procs, name)
	}
}

// TestProcesses runs requests through real processes while they are killed, cut off
// or shut down.
func TestProcesses(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	c.Run("order sent twice runs once", func(c *qt.C) {
		order := checker.Call{Kind: checker.KindOrder, Service: "/desk/", Payload: "kiln slot", Key: "booking-1"}
		first := f.client.Do(context.Background(), f.settings["entry-1"].Listen.Callers, order)
		second := f.client.Do(context.Background(), f.settings["entry-2"].Listen.Callers, order)
		c.Assert(first.IsAnswered(), qt.IsTrue)
		c.Assert(second.Body, qt.Equals, first.Body)
		var runs []responder.Run
		c.Assert(f.get("http://"+f.backends["agent-3"].String()+"/runs", &runs), qt.IsNil)
		c.Assert(runs, qt.HasLen, 1)
	})
	c.Run("streams complete when an agent is killed", func(c *qt.C) {
		results := f.runStreams("entry-1", 20, func() {
			c.Assert(f.procs["agent-1"].Process.Kill(), qt.IsNil)
			_, _ = f.procs["agent-1"].Process.Wait()
		})
		f.assertComplete(results)
		f.startProgram("agent-1", "siskinfall", "agent", "--settings", filepath.Join(f.dir, "agent-1.yaml"))
		f.waitRouted("entry-1", 3)
		f.waitRouted("entry-2", 3)
	})
	c.Run("streams complete when an agent is unreachable", func(*qt.C) {
		results := f.runStreams("entry-1", 20, func() { f.proxies["agent-2"].Stop() })
		f.assertComplete(results)
		f.Assert(f.proxies["agent-2"].Start(), qt.IsNil)
		f.waitRouted("entry-1", 3)
		f.waitRouted("entry-2", 3)
	})
	c.Run("streams complete when an agent receives SIGTERM", func(*qt.C) {
		var waitExit func()
		results := f.runStreams("entry-1", shutdownStreams, func() { waitExit = f.terminate("agent-1") })
		f.assertComplete(results)
		waitExit()
	})
	c.Run("streams complete when an entry instance receives SIGTERM", func(*qt.C) {
		var waitExit func()
		results := f.runStreams("entry-2", shutdownStreams, func() { waitExit = f.terminate("entry-2") })
		f.assertComplete(results)
		waitExit()
	})
}

// remoteBackend implements checker.Backend for a backend server process.
type remoteBackend struct {
	*fleet
	addr netip.AddrPort
}

func (r remoteBackend) GetRuns() (runs []responder.Run) {
	r.Assert(r.get("http://"+r.addr.String()+"/runs", &runs), qt.IsNil)
	return runs
}

func (r remoteBackend) GetAttempts() (attempts map[string]int) {
	r.Assert(r.get("http://"+r.addr.String()+"/attempts", &attempts), qt.IsNil)
	return attempts
}

// killAndRestart sends SIGKILL to a process and starts it again.
func (f *fleet) killAndRestart(name, role string) {
	f.Assert(f.procs[name].Process.Kill(), qt.IsNil)
	_, _ = f.procs[name].Process.Wait()
	f.startProgram(name, "siskinfall", role, "--settings", filepath.Join(f.dir, name+".yaml"))
}

// pause stops a process with SIGSTOP until neither entry instance routes to it,
// resumes it and waits until both route to it again.
func (f *fleet) pause(name string) {
	cmd := f.procs[name]
	f.Assert(cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	for _, entry := range []string{"entry-1", "entry-2"} {
		f.wait(func() error { return f.checkNotRouted(entry, name) })
	}
	f.Assert(cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	f.waitRouted("entry-1", 3)
	f.waitRouted("entry-2", 3)
}

// checkNotRouted returns an error while an entry instance routes to an agent.
func (f *fleet) checkNotRouted(entryName, agent string) error {
	var v entry.StatusView
	client := caller.NewClient(f.settings[entryName].Listen.Admin, "")
	if err := client.Get(context.Background(), "/v1/status", &v); err != nil {
		return err
	}
	for _, a := range v.Agents {
		if a.Instance == agent && a.Available {
			return fmt.Errorf("%s still routes to %s", entryName, agent)
		}
	}
	return nil
}

// sendUntil sends streams and orders through both entry instances until stop is
// closed.
func (f *fleet) sendUntil(stop <-chan struct{}, check *checker.Checker, id int) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		call := checker.Call{Kind: checker.KindStream, Service: "assistant-llm", Payload: fmt.Sprint(id, " ", n), Tokens: 3}
		if n%2 == 0 {
			call = checker.Call{Kind: checker.KindOrder, Service: "/desk/", Payload: fmt.Sprint(id, " ", n), Key: fmt.Sprint("k", id, "-", n)}
		}
		check.Add(f.client.Do(context.Background(), f.settings[fmt.Sprint("entry-", 1+(id+n)%2)].Listen.Callers, call))
	}
}

// TestAnswersStayCorrectWhenProcessesAreKilledOrPaused kills both entry instances
// of the zone, then kills and pauses every agent in turn, under load. Callers may
// get complete answers, correct refusals or broken connections, and nothing else.
func TestAnswersStayCorrectWhenProcessesAreKilledOrPaused(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	check := &checker.Checker{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 16 {
		wg.Go(func() { f.sendUntil(stop, check, id) })
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		f.killAndRestart(name, tracker.RoleEntry)
	}
	f.waitRouted("entry-1", 3)
	f.waitRouted("entry-2", 3)
	for _, name := range []string{"agent-1", "agent-2", "agent-3"} {
		f.killAndRestart(name, tracker.RoleAgent)
		f.waitRouted("entry-1", 3)
		f.waitRouted("entry-2", 3)
		f.pause(name)
	}
	close(stop)
	wg.Wait()
	backends := make([]checker.Backend, 0, len(f.backends))
	for _, addr := range f.backends {
		backends = append(backends, remoteBackend{fleet: f, addr: addr})
	}
	summary := check.GetSummary()
	t.Logf("%+v", summary)
	c.Assert(check.Check(backends), qt.HasLen, 0)
	c.Assert(summary.Answered > 0, qt.IsTrue)
}

var processTicket = starter.Services{ModelTimeout: time.Minute, DeskTimeout: 10 * time.Second, Attempts: 5, RetryBudget: 0.5}.Ticket()
