package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	// changePause is the time between two changes of the operator.
	changePause = 100 * time.Millisecond
	// changeTimeout limits one call of the operator.
	changeTimeout = 3 * time.Second
	// settleTimeout limits the wait until the deployment has recovered after the last
	// disturbance.
	settleTimeout = 30 * time.Second
	// changedWorkspace is the workspace that the operator changes; no caller uses it.
	changedWorkspace = "soak"
)

// changer is an operator that declares one adapter after the other, at all hosts in turn, and
// checks that those whose declaration was accepted are there in the end.
type changer struct {
	operators []string
	client    *http.Client
	findings  *findings
	sent      int
	// accepted holds the names of the adapters whose declaration was accepted.
	accepted []string
}

func newChanger(operators []string, f *findings) *changer {
	return &changer{operators: operators, findings: f, client: &http.Client{Timeout: changeTimeout}}
}

// run makes changes until ctx ends.
func (c *changer) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		c.change(ctx, c.operators[i%len(c.operators)])
		select {
		case <-ctx.Done():
		case <-time.After(changePause):
		}
	}
}

// change declares an adapter, and reports whether the change was accepted.
func (c *changer) change(ctx context.Context, operator string) bool {
	c.sent++
	name := fmt.Sprint("change-", c.sent)
	status, _, err := c.call(ctx, http.MethodPut, operator, "/"+name, []byte(`{"Spec":{"BaseModel":"soak"}}`))
	if err != nil || status/100 != 2 {
		return false
	}
	c.accepted = append(c.accepted, name)
	return true
}

// missing returns the accepted adapters that a host doesn't list, or an error if it doesn't answer.
func (c *changer) missing(ctx context.Context, operator string) ([]string, error) {
	listed := make(map[string]struct{})
	for query := ""; ; {
		status, body, err := c.call(ctx, http.MethodGet, operator, query, nil)
		if err != nil || status != http.StatusOK {
			return nil, errors.Errorf("status %d: %v", status, err)
		}
		var list struct {
			Items    []struct{ Metadata struct{ Name string } }
			Continue string
		}
		if err := json.Unmarshal(body, &list); err != nil {
			return nil, errors.Trace(err)
		}
		for _, item := range list.Items {
			listed[item.Metadata.Name] = struct{}{}
		}
		if list.Continue == "" {
			break
		}
		query = "?Continue=" + url.QueryEscape(list.Continue)
	}
	return slices.DeleteFunc(slices.Clone(c.accepted), func(name string) bool {
		_, is := listed[name]
		return is
	}), nil
}

// settle waits until a change is accepted and all hosts list all adapters that were accepted.
func (c *changer) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	changed := false
	// lost is the last list of missing changes that a host has answered. The call at the end of ctx
	// has none.
	var lost []string
	for next := 0; next < len(c.operators); {
		changed = changed || c.change(ctx, c.operators[next])
		missing, err := c.missing(ctx, c.operators[next])
		if err == nil {
			lost = missing
		}
		switch {
		case changed && err == nil && len(missing) == 0:
			next++
			lost = nil
			continue
		case ctx.Err() != nil:
			return errors.Errorf("%s: a change was accepted: %v; accepted changes that were missing last: %v; %v", c.operators[next], changed, lost, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(changePause):
		}
	}
	return nil
}

// call calls the API below the path of the adapters.
func (c *changer) call(ctx context.Context, method, operator, rest string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+operator+"/api/v1/workspaces/"+changedWorkspace+"/adapters"+rest, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, text, errors.Trace(err)
}
