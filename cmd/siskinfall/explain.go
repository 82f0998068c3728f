package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/report/explainer"
)

// explainLogs tells the story of a request from log files alone.
func (c *explainRequestCmd) explainLogs() error {
	var lines []explainer.Line
	for _, name := range c.Logs {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	story, ok := explainer.Explain(lines, c.RequestID)
	if !ok {
		return fmt.Errorf("request %s is not in %d log lines", c.RequestID, len(lines))
	}
	if c.JSON {
		return printJSON(story)
	}
	rows := make([]string, 0, len(story.Steps))
	for _, s := range story.Steps {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", s.Time.Format(time.RFC3339Nano), s.Instance, s.Text))
	}
	if err := printTable("TIME\tINSTANCE\tWHAT", rows); err != nil {
		return err
	}
	_, err := fmt.Println("cause:", story.Cause)
	return err
}

func readLog(name string) ([]explainer.Line, error) {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, wrapper.At("open_log", name, err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	lines, err := explainer.Read(r)
	return lines, wrapper.At("read_log", name, err)
}
