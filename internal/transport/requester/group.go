package requester

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
)

// GroupRefusedError is the error for an answer that refuses a request about the control
// group.
type GroupRefusedError struct {
	Status int
	Reason string
	// Accepted is "No" if the change certainly has no effect.
	Accepted string
}

// Error returns the reason, and whether a change may have taken effect.
func (g *GroupRefusedError) Error() string {
	text := strconv.Itoa(g.Status) + ": " + g.Reason
	if g.Accepted != "" {
		text += " (accepted: " + g.Accepted + ")"
	}
	return text
}

// Group returns the control group as seen by one of its hosts.
func (c *Client) Group(ctx context.Context) (distributor.Group, error) {
	return c.group(ctx, http.MethodGet, "", nil)
}

// AddHost adds a host to the control group. It returns when the host has received the
// whole state.
func (c *Client) AddHost(ctx context.Context, h distributor.GroupHost) (distributor.Group, error) {
	body, err := json.Marshal(h)
	if err != nil {
		return distributor.Group{}, errors.Trace(err)
	}
	return c.group(ctx, http.MethodPut, hostPath(h.ID), body)
}

// RemoveHost removes a host from the control group.
func (c *Client) RemoveHost(ctx context.Context, id uint64) (distributor.Group, error) {
	return c.group(ctx, http.MethodDelete, hostPath(id), nil)
}

// TransferLeadership transfers the leadership to another host of the control group.
func (c *Client) TransferLeadership(ctx context.Context) (distributor.Group, error) {
	return c.group(ctx, http.MethodPost, "/transfer", nil)
}

func hostPath(id uint64) string { return "/hosts/" + strconv.FormatUint(id, 10) }

// group sends one request about the control group. It never retries: after a lost
// answer operators must check the group first.
func (c *Client) group(ctx context.Context, method, path string, body []byte) (g distributor.Group, err error) {
	response, err := c.send(ctx, method, controller.AdministrationPath+path, body, nil)
	if err != nil {
		return g, errors.Trace(err)
	}
	defer response.Body.Close()
	answer := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	if response.StatusCode == http.StatusOK {
		err := answer.Decode(&g)
		return g, errors.Annotate(err, "reading the answer")
	}
	refused := &GroupRefusedError{Status: response.StatusCode}
	var problem controller.AdministrationProblem
	if err := answer.Decode(&problem); err != nil || problem.Reason == "" {
		problem.Reason = response.Status
	}
	refused.Reason, refused.Accepted = problem.Reason, problem.Accepted
	return g, refused
}
