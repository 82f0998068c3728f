//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is the size of an entry instance in the site file.
type machine struct {
	memory, descriptors, repeatSlack int
}

// gateway is a gateway process.
type gateway struct {
	name, ip       string
	callers, admin string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
	exited         chan struct{}
}

// Ports of the gateways, the same on all machines.
const (
	callersPort = 8227
	adminPort   = 8220
	peersPort   = 7340
	metricsPort = 19400
)

// newGateway writes the settings as deploy/gateway.yaml has them, on a loopback address of its
// own.
func newGateway(dir, name, zone, storeAddr string, m machine) (*gateway, error) {
	ip, err := findHost()
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, ip: ip, callers: fmt.Sprintf("%s:%d", ip, callersPort), admin: fmt.Sprintf("%s:%d", ip, adminPort)}
	g.settings = filepath.Join(dir, name+".yaml")
	text := fmt.Sprintf(`instance: %q
availability_zone: %q
listen:
  callers: %s
  admin: %s
  peers: %s:%d
  metrics: %s:%d
platform:
  address: %s
gateway:
  memory_megabytes: %d
  max_descriptors: %d
  grace: 8s
  repeat_ratio: 0.2
  repeat_slack: %d
  repeat_window: 10s
  seed_peers: []
  sidecar_port: %d
`, name, zone, g.callers, g.admin, ip, peersPort, ip, metricsPort, storeAddr, m.memory, m.descriptors, m.repeatSlack, peersPort)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	g.log, err = os.Create(filepath.Join(dir, name+".log"))
	return g, err
}

// findHost returns a loopback address with free ports.
func findHost() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range []int{callersPort, adminPort, peersPort, metricsPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(binary string) error {
	g.cmd = exec.Command(binary, "gateway", "--settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) { _ = cmd.Wait(); close(exited) }(g.cmd, g.exited)
	return nil
}

func (g *gateway) kill() {
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
}

func (g *gateway) hasExited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// isReady reports whether the gateway answers the readiness check with 200.
func (g *gateway) isReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

// readMemory returns a field of the process's status, such as VmRSS or VmHWM, in megabytes.
func (g *gateway) readMemory(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, ok := bytes.Cut(data, []byte(field+":"))
	if !ok {
		return 0
	}
	kilobytes := 0
	_, _ = fmt.Sscan(strings.TrimSpace(string(rest)), &kilobytes)
	return kilobytes >> 10
}
