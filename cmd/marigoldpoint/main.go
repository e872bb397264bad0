// Command marigoldpoint serves very many LoRA adapters from a shared pool of
// engines. It runs every role of a deployment, checks settings files, is a client of
// the resource API, merges the events of several processes into one time line, and
// includes stand-ins, a demonstration and a load generator.
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
	// exitFailed means that the command failed.
	exitFailed
	// exitUsage means that the arguments or a settings file are invalid.
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
	Route        *routeCommand        `arg:"subcommand:route" help:"tell where an entry would send a request now, and why"`
	Model        *modelCommand        `arg:"subcommand:model" help:"play loads on the deciding parts on virtual time"`
	Standin      *standinCommand      `arg:"subcommand:standin" help:"run a stand-in for what the system serves"`
	Demo         *demoCommand         `arg:"subcommand:demo" help:"run a whole small deployment on loopback and check its promises"`
	Load         *loadCommand         `arg:"subcommand:load" help:"drive a deployment with load, or compare two reports"`
	Probe        *probeCommand        `arg:"subcommand:probe" help:"measure what nodes and streams cost"`
	Soak         *soakCommand         `arg:"subcommand:soak" help:"disturb a deployment of separate processes under load and check its promises"`
}

// Version returns the line that --version prints.
func (arguments) Version() string {
	version := "development"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
		version = info.Main.Version
	}
	return "marigoldpoint " + version
}

// Description returns the introduction of the help.
func (arguments) Description() string {
	return "marigoldpoint serves very many LoRA adapters from a shared pool of engines."
}

// command is a subcommand that can be run.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// usageError is an error in the arguments or in a settings file. The program exits with
// exitUsage.
type usageError struct{ cause error }

func (u usageError) Error() string { return u.cause.Error() }

// logTimeFormat is the time format of logs. It has milliseconds, so that the events of
// several processes can be ordered.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTimeFormat
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs the command and returns the exit code.
func run(args []string, out, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "marigoldpoint"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := parser.Parse(args); err != nil {
		return reportParseError(parser, err, a, out, stderr)
	}
	c := selectedCommand(parser.Subcommand())
	if c == nil {
		parser.WriteHelp(stderr)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return exitCode(c.run(ctx, out), stderr)
}

// reportParseError prints the help, the version or a usage error, depending on err, and returns
// the exit code.
func reportParseError(parser *arg.Parser, err error, a arguments, out, stderr io.Writer) int {
	switch {
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...); err != nil {
			fmt.Fprintln(stderr, err)
		}
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, a.Version())
		return exitOK
	default:
		name := strings.Join(append([]string{"marigoldpoint"}, parser.SubcommandNames()...), " ")
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return exitUsage
	}
}

// exitCode prints err, unless it is nil, and returns the exit code.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// selectedCommand returns the command to run, or nil if the arguments name a group without
// one of its commands.
func selectedCommand(parsed any) command {
	switch c := parsed.(type) {
	case command:
		return c
	default:
		return nil
	}
}
