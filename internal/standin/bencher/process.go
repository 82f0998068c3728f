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

// ticksPerSecond is the number of clock ticks a second, in which /proc/PID/stat
// counts processor time.
const ticksPerSecond = 100

// measuredProcess is an entry instance or agent that runs as a process of its own.
type measuredProcess struct {
	cmd      *exec.Cmd
	settings *loader.Settings
}

// startMeasured starts an entry instance or agent with the siskinfall program in
// this program's folder, and waits until its metrics can be read.
func startMeasured(role string, cfg *loader.Settings) (*measuredProcess, error) {
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
	m := &measuredProcess{cmd: cmd, settings: cfg}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return m, starter.WaitFor(ctx, func() error {
		_, err := m.readMetrics()
		return err
	})
}

func (m *measuredProcess) stop() {
	_ = m.cmd.Process.Kill()
	_, _ = m.cmd.Process.Wait()
}

// newMeasuredSettings returns the default settings with free ports, and with only
// errors logged.
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

// usage is a reading of the resource usage of a process.
type usage struct {
	at time.Time
	// cpu is the processor time used since the start.
	cpu time.Duration
	// memory is the resident memory, in bytes.
	memory float64
	// sent and received are the bytes on sessions with other instances since the
	// start.
	sent, received float64
}

// rates is the resource usage of a process between two readings.
type rates struct {
	// cpu is a fraction of a core.
	cpu float64
	// memory is the resident memory at the second reading, in bytes.
	memory float64
	// sent and received are in bytes a second.
	sent, received float64
}

func (m *measuredProcess) readUsage() (usage, error) {
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
	u.cpu = time.Duration(ticks * float64(time.Second) / ticksPerSecond)
	u.memory = parseNumber(fields[residentField]) * float64(os.Getpagesize())
	text, err := m.readMetrics()
	if err != nil {
		return u, err
	}
	u.sent = findMetric(text, `siskinfall_session_bytes_total{direction="sent"}`)
	u.received = findMetric(text, `siskinfall_session_bytes_total{direction="received"}`)
	return u, nil
}

// parseNumber returns 0 if text is not a number.
func parseNumber(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return v
}

// findMetric returns the value of a metric in text, 0 if it is missing.
func findMetric(text, name string) float64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			return parseNumber(strings.TrimSpace(rest))
		}
	}
	return 0
}

func (m *measuredProcess) readMetrics() (string, error) {
	resp, err := http.Get("http://" + m.settings.Listen.Admin.String() + "/metrics")
	if err != nil {
		return "", wrapper.At("read_metrics", m.settings.Instance, err)
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), errors.Join(err, resp.Body.Close())
}

// measure waits until the process has settled and returns its resource usage over
// measureWindow.
func (m *measuredProcess) measure() (rates, error) {
	time.Sleep(settleDelay)
	first, err := m.readUsage()
	if err != nil {
		return rates{}, err
	}
	time.Sleep(measureWindow)
	last, err := m.readUsage()
	if err != nil {
		return rates{}, err
	}
	seconds := last.at.Sub(first.at).Seconds()
	return rates{
		cpu: (last.cpu - first.cpu).Seconds() / seconds, memory: last.memory,
		sent: (last.sent - first.sent) / seconds, received: (last.received - first.received) / seconds,
	}, nil
}
