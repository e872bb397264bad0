package driver

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
)

const inForcePause = 50 * time.Millisecond

// WaitAdaptersListed waits until every entry lists all adapters of the workload, with
// their current versions, to each workspace's key. It returns the last reason to
// wait where ctx ends first.
func WaitAdaptersListed(ctx context.Context, w *Workload, keys []WorkspaceKey, entries []Entry) error {
	bearer, err := bearers(w, keys)
	if err != nil {
		return err
	}
	client := newClient(1)
	defer client.CloseIdleConnections()
	for _, e := range entries {
		for i := range w.Workspaces {
			for {
				err := listed(ctx, client, e.Address, bearer[i], w.Workspaces[i].Adapters)
				if err == nil {
					break
				}
				timer := time.NewTimer(inForcePause)
				select {
				case <-timer.C:
				case <-ctx.Done():
					timer.Stop()
					return errors.Annotatef(err, "workspace %s at entry %s", w.Workspaces[i].Name, e.Address)
				}
			}
		}
	}
	return nil
}

// modelList is the part of OpenAI's list of models that is looked at.
type modelList struct {
	Data []modelName `json:"data"`
}

type modelName struct {
	ID string `json:"id"`
}

// listed returns an error unless the entry lists that many adapters.
func listed(ctx context.Context, client *http.Client, entry, bearer string, want int) error {
	r, err := newRequest(ctx, http.MethodGet, "http://"+entry+orderer.PathModels, http.NoBody)
	if err != nil {
		return err
	}
	r.Header.Set(translator.HeaderAuthorization, bearer)
	answer, err := client.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	var list modelList
	if err := json.NewDecoder(answer.Body).Decode(&list); err != nil {
		return errors.Trace(err)
	}
	found := 0
	for _, m := range list.Data {
		if !strings.Contains(m.ID, "@") {
			found++
		}
	}
	if found < want {
		return errors.Errorf("%d of %d adapters in force", found, want)
	}
	return nil
}
