package gatekeeper

import (
	"encoding/json"
	"net/http"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
)

// modelList and modelBody follow OpenAI's API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	// Root is the version that answers, as vLLM reports it for an adapter.
	Root   string `json:"root"`
	Parent string `json:"parent"`
}

func bodyOf(workspace, id string, m indexer.Model) modelBody {
	return modelBody{ID: id, Object: "model", OwnedBy: workspace, Root: m.Name, Parent: m.BaseModel}
}

// models lists the workspace's versions, and the adapters that have a current
// one.
func (x *exchange) models() *translator.Fault {
	workspace := x.holder.Workspace
	list := modelList{Object: "list", Data: []modelBody{}}
	for _, m := range x.entry.settings.Index.Models(workspace) {
		list.Data = append(list.Data, bodyOf(workspace, m.Name, m))
		if m.Current {
			name := translator.Name{Workspace: workspace, Adapter: m.Adapter}
			list.Data = append(list.Data, bodyOf(workspace, name.String(), m))
		}
	}
	return x.writeJSON(list)
}

func (x *exchange) model() *translator.Fault {
	id := x.r.PathValue("model")
	name, err := translator.ParseModelName(id)
	if err != nil {
		return unknownModel(id)
	}
	t, fault := x.resolve(name)
	if fault != nil {
		return fault
	}
	return x.writeJSON(bodyOf(t.Workspace, id, indexer.Model{Name: t.Name, BaseModel: t.BaseModel}))
}

func (x *exchange) writeJSON(v any) *translator.Fault {
	data, err := json.Marshal(v)
	if err != nil {
		return translator.NewFault(http.StatusInternalServerError, translator.CodeInvalidRequest, "the answer can't be encoded")
	}
	h := x.w.Header()
	h.Set(translator.HeaderContentType, contentJSON)
	x.w.Write(append(data, '\n'))
	return nil
}
