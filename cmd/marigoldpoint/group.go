package main

import (
	"context"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
)

// groupCommand groups the commands for the control group.
type groupCommand struct {
	Show     *groupShowCommand     `arg:"subcommand:show" help:"print the group as one of its hosts sees it"`
	Add      *groupAddCommand      `arg:"subcommand:add" help:"add a host that waits with Control.Join"`
	Remove   *groupRemoveCommand   `arg:"subcommand:remove" help:"remove a host"`
	Transfer *groupTransferCommand `arg:"subcommand:transfer" help:"hand leadership to another host"`
}

// groupShowCommand prints the control group.
type groupShowCommand struct{ listenerArguments }

func (c *groupShowCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	g, err := client.Group(ctx)
	return printGroup(out, g, err)
}

// groupAddCommand adds a host.
type groupAddCommand struct {
	listenerArguments
	ID            uint64 `arg:"--id,required" placeholder:"ID" help:"the host's Control.ID, which no host has had before"`
	Address       string `arg:"required" placeholder:"IP:PORT" help:"the host's Control.Listen"`
	FailureDomain string `arg:"--failure-domain,required" placeholder:"NAME" help:"the host's failure domain"`
	Learner       bool   `help:"the host receives the log and has no vote"`
}

func (c *groupAddCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	g, err := client.AddHost(ctx, distributor.GroupHost{
		ID: c.ID, Address: c.Address, FailureDomain: c.FailureDomain, Voter: !c.Learner,
	})
	return printGroup(out, g, err)
}

// groupRemoveCommand removes a host.
type groupRemoveCommand struct {
	listenerArguments
	ID uint64 `arg:"--id,required" placeholder:"ID" help:"the host's Control.ID"`
}

func (c *groupRemoveCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	g, err := client.RemoveHost(ctx, c.ID)
	return printGroup(out, g, err)
}

// groupTransferCommand transfers leadership to another host.
type groupTransferCommand struct{ listenerArguments }

func (c *groupTransferCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	g, err := client.TransferLeadership(ctx)
	return printGroup(out, g, err)
}

func printGroup(out io.Writer, g distributor.Group, err error) error {
	if err != nil {
		return err
	}
	document, err := json.MarshalIndent(g, "", "  ")
	return printDocument(out, document, errors.Trace(err))
}
