package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/transport/requester"
)

// resourceCommand groups the commands for resources.
type resourceCommand struct {
	Get    *resourceGetCommand    `arg:"subcommand:get" help:"print a resource, a list, or a workspace"`
	Put    *resourcePutCommand    `arg:"subcommand:put" help:"declare a resource"`
	Delete *resourceDeleteCommand `arg:"subcommand:delete" help:"end a resource"`
	Watch  *resourceWatchCommand  `arg:"subcommand:watch" help:"print changes as they come"`
	Export *resourceExportCommand `arg:"subcommand:export" help:"print all that operators have declared, one resource a line"`
	Import *resourceImportCommand `arg:"subcommand:import" help:"declare what export printed"`
}

// listenerArguments are the address of an operators' listener and the key for it.
type listenerArguments struct {
	Operator string `arg:"required" placeholder:"IP:PORT" help:"operators' listener"`
	KeyFile  string `arg:"--key-file" placeholder:"FILE" help:"file with the operators' bearer key"`
}

// operatorArguments are the operators' listener and the path of a resource.
type operatorArguments struct {
	listenerArguments
	Path string `arg:"positional,required" placeholder:"PATH" help:"WORKSPACE, WORKSPACE/KIND or WORKSPACE/KIND/NAME; kinds are adapters, versions, priorityrules, services, keys"`
}

func (a listenerArguments) client() (*requester.Client, error) {
	key, err := readKey(a.KeyFile)
	if err != nil {
		return nil, usageError{err}
	}
	return requester.NewClient(requester.Settings{Address: a.Operator, Key: key}), nil
}

// preconditionArguments are the preconditions of a change and its idempotency key.
type preconditionArguments struct {
	IfMatch        uint64 `arg:"--if-match" placeholder:"REVISION" help:"refuse unless the resource has this revision"`
	IdempotencyKey string `arg:"--idempotency-key" placeholder:"KEY" help:"identity of the change, to send it again after a lost answer"`
}

// resourceGetCommand prints a resource.
type resourceGetCommand struct{ operatorArguments }

func (c *resourceGetCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	document, err := client.Get(ctx, c.Path)
	return printDocument(out, document, err)
}

// resourcePutCommand declares a resource.
type resourcePutCommand struct {
	operatorArguments
	preconditionArguments
	Create bool   `help:"refuse where the resource exists"`
	File   string `default:"-" placeholder:"FILE" help:"document to declare; - reads standard input"`
}

func (c *resourcePutCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	document, err := readDocument(c.File)
	if err != nil {
		return usageError{err}
	}
	accepted, err := client.Put(ctx, c.Path, document, requester.Conditions{
		IfMatch: c.IfMatch, Create: c.Create, IdempotencyKey: c.IdempotencyKey,
	})
	return printDocument(out, accepted, err)
}

// resourceDeleteCommand deletes a resource.
type resourceDeleteCommand struct {
	operatorArguments
	preconditionArguments
}

func (c *resourceDeleteCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	deletion, err := client.Delete(ctx, c.Path, requester.Conditions{IfMatch: c.IfMatch, IdempotencyKey: c.IdempotencyKey})
	return printDocument(out, deletion, err)
}

// resourceWatchCommand prints changes as they occur.
type resourceWatchCommand struct {
	operatorArguments
	After uint64 `placeholder:"REVISION" help:"begin after this revision; by default with the next change"`
}

func (c *resourceWatchCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return client.Watch(ctx, c.Path, c.After, out)
}

// resourceExportCommand prints a backup of all declared resources.
type resourceExportCommand struct{ listenerArguments }

func (c *resourceExportCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	_, err = client.Export(ctx, out)
	return errors.Trace(err)
}

// resourceImportCommand declares the resources of a backup.
type resourceImportCommand struct {
	listenerArguments
	Identity string `placeholder:"TEXT" help:"identity of an import that broke off, to go on with it"`
	File     string `arg:"positional,required" placeholder:"FILE" help:"back-up to declare; - reads standard input"`
}

func (c *resourceImportCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	backup, err := readDocument(c.File)
	if err != nil {
		return usageError{err}
	}
	imported, err := client.Import(ctx, bytes.NewReader(backup), c.Identity)
	for _, r := range imported.Refused {
		fmt.Fprintln(out, "refused:", r)
	}
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(out, "%d resources declared, %d refused\n", imported.Declared, len(imported.Refused))
	if len(imported.Refused) > 0 {
		return errors.Errorf("%d changes refused", len(imported.Refused))
	}
	return nil
}

func readDocument(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func printDocument(out io.Writer, document []byte, err error) error {
	if err != nil {
		return err
	}
	_, err = out.Write(append(document, '\n'))
	return errors.Trace(err)
}
