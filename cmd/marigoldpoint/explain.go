package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/explainer"
)

// explainCommand reports from logs how calls ended and why.
type explainCommand struct {
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"logs of the processes; - for standard input"`
	Request string   `help:"only the time line of one request"`
	JSON    bool     `arg:"--json" help:"write JSON instead of text"`
}

func (c *explainCommand) run(_ context.Context, out io.Writer) error {
	var log explainer.Log
	for _, name := range c.Files {
		if err := readLog(&log, name); err != nil {
			return usageError{err}
		}
	}
	log.Sort()
	if len(log.Lines) == 0 {
		return usageError{errors.Errorf("no log lines in %v", c.Files)}
	}
	if c.Request != "" {
		return c.writeRequest(&log, out)
	}
	report := log.Report()
	if c.JSON {
		return errors.Trace(json.NewEncoder(out).Encode(report))
	}
	return errors.Trace(report.WriteText(out))
}

func readLog(log *explainer.Log, name string) error {
	if name == "-" {
		return log.Read("standard input", os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	return log.Read(name, f)
}

// writeRequest writes the log lines of one request, with the time since the first of them.
func (c *explainCommand) writeRequest(log *explainer.Log, out io.Writer) error {
	lines := log.Request(c.Request)
	if len(lines) == 0 {
		return usageError{errors.Errorf("no line of request %s in %v", c.Request, c.Files)}
	}
	for i := range lines {
		line := &lines[i]
		if c.JSON {
			fmt.Fprintf(out, "%s\n", line.Text)
			continue
		}
		fmt.Fprintf(out, "%+9.3f s  %s  %s  %s\n", line.At-lines[0].At, line.Node, line.Message, line.Text)
	}
	return nil
}
