package main

import (
	"net/netip"

	"siskinfall/internal/group/messenger"
	"siskinfall/internal/process/launcher"
	"siskinfall/internal/settings/loader"
	"siskinfall/platform"
)

type gatewayCmd struct{ fileArg }

func (c *gatewayCmd) run() error {
	cfg, err := loader.Load(c.File)
	if err != nil {
		return err
	}
	if err := launcher.SetJSONLog(cfg); err != nil {
		return err
	}
	store := platform.NewStore(cfg.Platform.Address)
	return launcher.NewGateway(cfg, store, platform.Headers{}).Run(launcher.NewSignalStop())
}

type sidecarCmd struct{ fileArg }

func (c *sidecarCmd) run() error {
	cfg, err := loader.Load(c.File)
	if err != nil {
		return err
	}
	if err := launcher.SetJSONLog(cfg); err != nil {
		return err
	}
	newEngine := func(addr netip.AddrPort) messenger.Engine { return platform.NewEngine(addr) }
	return launcher.NewSidecar(cfg, newEngine).Run(launcher.NewSignalStop())
}
