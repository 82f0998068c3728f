package main

import (
	"siskinfall/internal/process/launcher"
	"siskinfall/internal/settings/loader"
)

// fileArg names the settings file of a process.
type fileArg struct {
	File string `arg:"--settings,required" help:"settings file"`
}

func (a fileArg) load() (*loader.Settings, error) {
	cfg, err := loader.Load(a.File)
	if err != nil {
		return nil, err
	}
	return cfg, launcher.SetLog(cfg)
}

type entryCmd struct{ fileArg }

func (c *entryCmd) run() error {
	stop := launcher.NewSignalStop()
	cfg, err := c.load()
	if err != nil {
		return err
	}
	return launcher.RunEntry(stop, cfg)
}

type agentCmd struct{ fileArg }

func (c *agentCmd) run() error {
	stop := launcher.NewSignalStop()
	cfg, err := c.load()
	if err != nil {
		return err
	}
	return launcher.RunAgent(stop, cfg)
}
