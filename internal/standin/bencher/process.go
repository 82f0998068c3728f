package bencher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/settings/loader"
	"siskinfall/internal/standin/starter"
)

// clockTick is the unit of processor time in /proc, in ticks a second.
const clockTick = 100

// measured is a running process of the product.
type measured struct {
	cmd      *exec.Cmd
	settings *loader.Settings
}

// startMeasured starts an entry instance or agent from the program beside this
// one.
func startMeasured(role string, cfg *loader.Settings) (*measured, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, wrapper.At("find_program", "", err)
	}
	dir, err := os.MkdirTemp("", "siskinfall-bench")
	if err != nil {
		return nil, wrapper.At("make_folder", "", err)
	}
	data, err := yaml.Marshal(cfg)
	if err != nil {
		return nil, wrapper.At("encode_settings", "", err)
	}
	path := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, wrapper.At("write_settings", "", err)
	}
	cmd := exec.Command(filepath.Join(filepath.Dir(self), "siskinfall"), role, "--settings", path)
	if err := cmd.Start(); err != nil {
		return nil, wrapper.At("start", role, err)
	}
	m := &measured{cmd: cmd, settings: cfg}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return m, starter.WaitFor(ctx, func() error {
		_, err := m.metrics()
		return err
	})
}

func (m *measured) stop() {
	_ = m.cmd.Process.Kill()
	_, _ = m.cmd.Process.Wait()
}

// newMeasuredSettings returns settings with free ports.
func newMeasuredSettings(name, zone string, platform netip.AddrPort) (*loader.Settings, error) {
	cfg := loader.NewSettings()
	cfg.Instance, cfg.Zone, cfg.Platform.Address = name, zone, platform
	cfg.Log.Level = "error"
	for _, addr := range []*netip.AddrPort{&cfg.Listen.Callers, &cfg.Listen.Admin, &cfg.Listen.Peers} {
		free, err := starter.FreePort()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	return cfg, nil
}

// usage is what a process has used up to a moment.
type usage struct {
	at  time.Time
	cpu time.Duration
	// memory is resident, in bytes.
	memory float64
	// sent and received are the bytes of sessions with own processes.
	sent, received float64
}

// rates is what a process uses in a second.
type rates struct {
	// cpu is a fraction of a core.
	cpu float64
	// memory is resident, in bytes.
	memory float64
	// sent and received are in bytes a second.
	sent, received float64
}

func (m *measured) getUsage() (usage, error) {
	u := usage{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
	if err != nil {
		return u, wrapper.At("read_usage", "", err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, residentField = 11, 12, 21
	if len(fields) <= residentField {
		return u, wrapper.New("read_usage", "", "unexpected format")
	}
	ticks := parseNumber(fields[userField]) + parseNumber(fields[systemField])
	u.cpu = time.Duration(ticks * float64(time.Second) / clockTick)
	u.memory = parseNumber(fields[residentField]) * float64(os.Getpagesize())
	text, err := m.metrics()
	if err != nil {
		return u, err
	}
	u.sent = findMetric(text, `siskinfall_session_bytes_total{direction="sent"}`)
	u.received = findMetric(text, `siskinfall_session_bytes_total{direction="received"}`)
	return u, nil
}

func parseNumber(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return v
}

func findMetric(text, name string) float64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			return parseNumber(strings.TrimSpace(rest))
		}
	}
	return 0
}

func (m *measured) metrics() (string, error) {
	resp, err := http.Get("http://" + m.settings.Listen.Admin.String() + "/metrics")
	if err != nil {
		return "", wrapper.At("read_metrics", m.settings.Instance, err)
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), errors.Join(err, resp.Body.Close())
}

// measure waits until a process has settled and returns what it uses.
func (m *measured) measure() (rates, error) {
	time.Sleep(settleTime)
	first, err := m.getUsage()
	if err != nil {
		return rates{}, err
	}
	time.Sleep(windowTime)
	last, err := m.getUsage()
	if err != nil {
		return rates{}, err
	}
	seconds := last.at.Sub(first.at).Seconds()
	return rates{
		cpu: (last.cpu - first.cpu).Seconds() / seconds, memory: last.memory,
		sent: (last.sent - first.sent) / seconds, received: (last.received - first.received) / seconds,
	}, nil
}
