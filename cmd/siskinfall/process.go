package main

import (
	"siskinfall/internal/process/launcher"
	"siskinfall/internal/settings/loader"
)

// settingsArg selects the settings file of a process.
type settingsArg struct {
	File string `arg:"--settings,required" help:"settings file"`
}

// load reads the settings and sets up the log as they say.
func (a settingsArg) load() (*loader.Settings, error) {
	cfg, err := loader.Load(a.File)
	if err != nil {
		return nil, err
	}
	return cfg, launcher.SetLog(cfg)
}

type entryCmd struct{ settingsArg }

func (c *entryCmd) run() error {
	stop := launcher.NewSignalStop()
	cfg, err := c.load()
	if err != nil {
		return err
	}
	return launcher.RunEntry(stop, cfg)
}

type agentCmd struct{ settingsArg }

func (c *agentCmd) run() error {
	stop := launcher.NewSignalStop()
	cfg, err := c.load()
	if err != nil {
		return err
	}
	return launcher.RunAgent(stop, cfg)
}
