package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/report/explainer"
	"siskinfall/internal/report/summarizer"
)

// explainLogs prints the timeline of a request from log files, without asking an
// entry instance.
func (c *explainRequestCmd) explainLogs() error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	explanation, ok := explainer.Explain(lines, c.RequestID)
	if !ok {
		return fmt.Errorf("request %s is not in %d log lines", c.RequestID, len(lines))
	}
	if c.JSON {
		return printJSON(explanation)
	}
	rows := make([]string, 0, len(explanation.Steps))
	for _, s := range explanation.Steps {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s", s.Time.Format(time.RFC3339Nano), s.Instance, s.Text))
	}
	if err := printTable("TIME\tINSTANCE\tWHAT", rows); err != nil {
		return err
	}
	_, err = fmt.Println("cause:", explanation.Cause)
	return err
}

type reportLogsCmd struct {
	Files []string `arg:"positional,required" help:"log files of any processes; - is standard input"`
	HTML  string   `arg:"--html" help:"write a page with plots to this file"`
	JSON  bool     `arg:"--json" help:"print JSON"`
}

func (c *reportLogsCmd) run() error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	s := summarizer.New(lines)
	switch {
	case c.HTML != "":
		return writePage(c.HTML, s.WriteHTML)
	case c.JSON:
		return printJSON(s)
	}
	return s.WriteText(os.Stdout)
}

// writePage creates a file, or truncates it, and writes a page to it.
func writePage(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return wrapper.At("write_page", name, err)
	}
	return errors.Join(write(f), f.Close())
}

func readLogs(names []string) ([]explainer.Line, error) {
	var lines []explainer.Line
	for _, name := range names {
		more, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
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
