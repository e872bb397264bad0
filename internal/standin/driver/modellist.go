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

// listPollInterval is the time between two requests for the list of models.
const listPollInterval = 50 * time.Millisecond

// WaitAdaptersListed waits until every entry lists all adapters of the workload, with their
// current versions, to the key of each workspace. If ctx ends first, it returns the last
// reason why an entry was not ready.
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
				err := checkListed(ctx, client, e.Address, bearer[i], w.Workspaces[i].Adapters)
				if err == nil {
					break
				}
				timer := time.NewTimer(listPollInterval)
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

// modelList is the part of OpenAI's model list that is read.
type modelList struct {
	Data []modelName `json:"data"`
}

type modelName struct {
	ID string `json:"id"`
}

// checkListed returns an error unless the entry lists at least want adapters.
func checkListed(ctx context.Context, client *http.Client, entry, bearer string, want int) error {
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
		return errors.Errorf("%d of %d adapters listed", found, want)
	}
	return nil
}
