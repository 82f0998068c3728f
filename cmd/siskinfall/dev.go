package main

import (
	"fmt"

	"github.com/charmbracelet/log"

	"siskinfall/internal/process/launcher"
	"siskinfall/internal/standin/starter"
)

type devCmd struct {
	Verbose bool `arg:"--verbose" help:"print the fleet's log"`
}

func (c *devCmd) run() error {
	if !c.Verbose {
		log.SetLevel(log.ErrorLevel)
	}
	stop := launcher.NewSignalStop()
	demo, err := starter.StartDemo(stop.Graceful)
	if err != nil {
		return err
	}
	defer demo.Close()
	fmt.Print(demo.Instructions())
	<-stop.Graceful.Done()
	return nil
}
