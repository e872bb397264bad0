// Command marigoldpoint serves very many LoRA adapters from a shared pool of
// engines. One program runs every role of a deployment, checks its settings,
// drives its resource API, merges its events into one time line, and brings its
// own stand-ins, demonstration and load.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// The exit codes of the program.
const (
	exitOK = iota
	// exitFailed means that the command ran and failed.
	exitFailed
	// exitUsage means that the arguments or a settings file are wrong.
	exitUsage
)

// arguments are the subcommands of the program; exactly one is set.
type arguments struct {
	Serve        *serveCommand        `arg:"subcommand:serve" help:"run the roles that a settings file names"`
	Platform     *platformCommand     `arg:"subcommand:platform" help:"run the roles that the users' platform names in its settings"`
	Settings     *settingsCommand     `arg:"subcommand:settings" help:"check settings files"`
	Certificates *certificatesCommand `arg:"subcommand:certificates" help:"make the certificates by which processes know each other"`
	Resource     *resourceCommand     `arg:"subcommand:resource" help:"read, write and watch resources"`
	Group        *groupCommand        `arg:"subcommand:group" help:"show and change the control group"`
	Timeline     *timelineCommand     `arg:"subcommand:timeline" help:"merge the events of several processes into one time line"`
	Explain      *explainCommand      `arg:"subcommand:explain" help:"tell from logs what became of calls, and why"`
	Model        *modelCommand        `arg:"subcommand:model" help:"play loads on the deciding parts on virtual time"`
	Standin      *standinCommand      `arg:"subcommand:standin" help:"run a stand-in for what the system serves"`
	Demo         *demoCommand         `arg:"subcommand:demo" help:"run a whole small deployment on loopback and check its promises"`
	Load         *loadCommand         `arg:"subcommand:load" help:"drive a deployment with load, or compare two reports"`
	Probe        *probeCommand        `arg:"subcommand:probe" help:"measure what nodes and streams cost"`
}

// Version returns the line that --version prints.
func (arguments) Version() string {
	version := "development"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
		version = info.Main.Version
	}
	return "marigoldpoint " + version
}

// Description returns the first lines of the help.
func (arguments) Description() string {
	return "marigoldpoint serves very many LoRA adapters from a shared pool of engines."
}

// command is one subcommand that was chosen.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// usageError is an error of the arguments or a settings file; it ends the
// program with exitUsage.
type usageError struct{ cause error }

func (u usageError) Error() string { return u.cause.Error() }

// logTime is the form of times in logs: events of several processes are told apart by
// milliseconds.
const logTime = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTime
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs the command and returns the exit code.
func run(args []string, out, complaints io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "marigoldpoint"}, &a)
	if err != nil {
		fmt.Fprintln(complaints, err)
		return exitUsage
	}
	if err := parser.Parse(args); err != nil {
		return answerParse(parser, err, a, out, complaints)
	}
	c := chosen(parser.Subcommand())
	if c == nil {
		parser.WriteHelp(complaints)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitCode(c.run(ctx, out), complaints)
}

func answerParse(parser *arg.Parser, err error, a arguments, out, complaints io.Writer) int {
	switch {
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...); err != nil {
			fmt.Fprintln(complaints, err)
		}
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, a.Version())
		return exitOK
	default:
		name := strings.Join(append([]string{"marigoldpoint"}, parser.SubcommandNames()...), " ")
		fmt.Fprintf(complaints, "%s: %v\n", name, err)
		return exitUsage
	}
}

func exitCode(err error, complaints io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(complaints, err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// chosen returns the command to run, or nil where a group was named without one.
func chosen(parsed any) command {
	switch c := parsed.(type) {
	case command:
		return c
	default:
		return nil
	}
}
