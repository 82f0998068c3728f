package main

import (
	"fmt"
	"os"

	"siskinfall/internal/settings/loader"
)

type settingsCmd struct {
	Check    *settingsCheckCmd    `arg:"subcommand:check" help:"check a settings file and report every error"`
	Defaults *settingsDefaultsCmd `arg:"subcommand:defaults" help:"print the default settings with comments"`
}

func (c *settingsCmd) run() error {
	if c.Check != nil {
		return c.Check.run()
	}
	return loader.WriteDefaults(os.Stdout)
}

type settingsCheckCmd struct {
	File string `arg:"positional,required"`
}

func (c *settingsCheckCmd) run() error {
	if _, err := loader.Load(c.File); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

type settingsDefaultsCmd struct{}

func (c *settingsDefaultsCmd) run() error { return loader.WriteDefaults(os.Stdout) }
