package main

import (
	"net/netip"

	"siskinfall/internal/group/messenger"
	"siskinfall/internal/process/launcher"
	"siskinfall/internal/settings/loader"
	"siskinfall/platform"
)

type gatewayCmd struct{ settingsArg }

func (c *gatewayCmd) run() error {
	// This comes first because a process may be asked to stop as soon as it runs.
	stop := launcher.NewSignalStop()
	cfg, err := loader.Load(c.File)
	if err != nil {
		return err
	}
	if err := launcher.SetJSONLog(cfg); err != nil {
		return err
	}
	store := platform.NewStore(cfg.Platform.Address)
	return launcher.NewGateway(cfg, store, store, platform.Headers{}).Run(stop)
}

type sidecarCmd struct{ settingsArg }

func (c *sidecarCmd) run() error {
	stop := launcher.NewSignalStop()
	cfg, err := loader.Load(c.File)
	if err != nil {
		return err
	}
	if err := launcher.SetJSONLog(cfg); err != nil {
		return err
	}
	newEngine := func(addr netip.AddrPort) messenger.Engine { return platform.NewEngine(addr) }
	return launcher.NewSidecar(cfg, newEngine).Run(stop)
}
