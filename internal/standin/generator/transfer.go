package generator

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// exportedRequest is the content of an export. Only engines of this package decode it.
type exportedRequest struct {
	Question  requestSpec
	Generated int
	Cached    int
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	order, refused := decodeOrder[orderer.ExportOrder](r)
	if refused != nil {
		writeError(w, refused)
		return
	}
	moved, refused := e.export(r, order.Request)
	if refused != nil {
		writeError(w, refused)
		return
	}
	if !pauser.Pause(r.Context(), e.transferTime(moved)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(mustMarshal(moved))
}

// export ends a request as Moved and returns its state.
func (e *Engine) export(r *http.Request, request string) (exportedRequest, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, refused := e.recordOrder(r, ExportOrder, request)
	if refused != nil {
		return exportedRequest{}, refused
	}
	s, ok := e.sequences[request]
	if !ok || s.outcome != InProgress {
		entry.Status = http.StatusNotFound
		return exportedRequest{}, refuse(entry.Status, orderer.TypeNotFound, "no request of this id is in progress")
	}
	e.end(s, Moved, &orderer.ErrorDetail{Message: "the request was exported", Type: orderer.TypeMoved, Code: http.StatusGone})
	e.recordLoad(time.Now())
	return exportedRequest{Question: s.requestSpec, Generated: s.generated, Cached: s.cached}, nil
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	moved, err := readTransfer(r.Body)
	if err != nil {
		writeError(w, badRequest(err.Error()))
		return
	}
	if !pauser.Pause(r.Context(), e.transferTime(moved)) {
		panic(http.ErrAbortHandler)
	}
	if refused := e.importRequest(r, moved); refused != nil {
		writeError(w, refused)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// importRequest queues an imported request for the batch.
func (e *Engine) importRequest(r *http.Request, moved exportedRequest) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, refused := e.recordOrder(r, ImportOrder, moved.Question.Request)
	if refused != nil {
		return refused
	}
	switch known := e.sequences[moved.Question.Request]; {
	case moved.Question.Model != e.settings.BaseModel && !e.slots.resident(moved.Question.Model):
		refused = unknownModel(moved.Question.Model)
	case e.role == orderer.Prefill:
		refused = refuse(http.StatusServiceUnavailable, orderer.TypeOverloaded, "the engine only prefills")
	case known != nil && known.outcome == InProgress:
		refused = refuse(http.StatusConflict, orderer.TypeDuplicateID, "a request of this id is in progress")
	}
	if refused != nil {
		entry.Status = refused.status
		return refused
	}
	s := newSequence(moved.Question)
	s.imported = true
	s.generated = moved.Generated
	s.cached = moved.Cached
	e.queueSequence(s)
	e.startGraceTimer(s)
	return nil
}

func readTransfer(r io.Reader) (exportedRequest, error) {
	var moved exportedRequest
	if err := json.NewDecoder(r).Decode(&moved); err != nil {
		return moved, errors.Annotate(err, "exported bytes")
	}
	if moved.Generated < 0 || moved.Generated >= moved.Question.MaxTokens {
		return moved, errors.NotValidf("exported bytes: %d of %d tokens", moved.Generated, moved.Question.MaxTokens)
	}
	return moved, nil
}

// transferTime returns the time to transfer the request's KV cache.
func (e *Engine) transferTime(moved exportedRequest) time.Duration {
	tokens := moved.Question.PromptTokens + moved.Generated
	return e.settings.scaled(time.Duration(tokens) * e.settings.TransferPerToken)
}
