package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

const weightsPath = "/weights/"

// recordOrder records an order and checks its fencing number. It returns the entry in the
// record, which is valid until the next order, or a refusal. The caller holds mu.
func (e *Engine) recordOrder(r *http.Request, kind OrderKind, subject string) (*Order, *refusal) {
	fence, err := strconv.ParseUint(r.Header.Get(orderer.HeaderFence), 10, 64)
	if err != nil && r.Header.Get(orderer.HeaderFence) != "" {
		return nil, badRequest("fencing number: " + err.Error())
	}
	e.record.Orders = append(e.record.Orders, Order{
		Kind: kind, Subject: subject, Fence: fence, At: time.Now(), Status: http.StatusOK, Incarnation: e.incarnation,
	})
	order := &e.record.Orders[len(e.record.Orders)-1]
	if fence < e.fence {
		if e.checksFencing() {
			order.Status = http.StatusPreconditionFailed
			return nil, refuse(order.Status, orderer.TypeFenced, fmt.Sprintf("fencing number %d is below %d", fence, e.fence))
		}
		e.record.StaleOrders++
	}
	e.fence = max(e.fence, fence)
	return order, nil
}

func decodeOrder[T any](r *http.Request) (T, *refusal) {
	var order T
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		return order, badRequest(err.Error())
	}
	return order, nil
}

func (e *Engine) serveLoadOrder(w http.ResponseWriter, r *http.Request) {
	order, refused := decodeOrder[orderer.AdapterOrder](r)
	if refused != nil {
		writeError(w, refused)
		return
	}
	loaded, refused := e.beginLoad(r, order) //nolint:contextcheck // A load continues after its order's connection has closed.
	if refused != nil {
		writeError(w, refused)
		return
	}
	select {
	case refused := <-loaded:
		if refused != nil {
			writeError(w, refused)
			return
		}
		writeText(w, fmt.Sprintf("Success: LoRA adapter '%s' added successfully.", order.Name))
	case <-e.context.Done():
		panic(http.ErrAbortHandler)
	}
}

// beginLoad starts a load. Its end is sent on the channel: nil for success, or a refusal.
func (e *Engine) beginLoad(r *http.Request, order orderer.AdapterOrder) (<-chan *refusal, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, refused := e.recordOrder(r, LoadOrder, order.Name)
	if refused != nil {
		return nil, refused
	}
	target, refused := e.takeSlot(order)
	if refused != nil {
		entry.Status = refused.status
		return nil, refused
	}
	incarnation, incarnationContext := e.incarnation, e.incarnationContext
	loaded := make(chan *refusal, 1)
	e.recordLoad(time.Now())
	e.running.Go(func() {
		err := e.fetch(incarnationContext, order.Path)
		if err == nil && !pauser.Pause(incarnationContext, e.settings.scaled(e.settings.ActivationTime)) {
			err = errors.New("engine stopped")
		}
		loaded <- e.endLoad(incarnation, target, order, err)
	})
	return loaded, nil
}

// takeSlot returns the slot to load into. The caller holds mu.
func (e *Engine) takeSlot(order orderer.AdapterOrder) (*slot, *refusal) {
	if order.Name == "" || order.Path == "" {
		return nil, badRequest("lora_name and lora_path must be set")
	}
	if known := e.slots.find(order.Name); known != nil {
		if order.InPlace && known.phase == orderer.Resident {
			return known, nil
		}
		return nil, refuse(http.StatusBadRequest, orderer.TypeInvalid,
			fmt.Sprintf("The lora adapter '%s' has already been loaded.", order.Name))
	}
	target := e.slots.reserve(order.Name, order.Path)
	if target == nil {
		return nil, refuse(http.StatusBadRequest, orderer.TypeNoSlot, "all adapter slots are taken")
	}
	return target, nil
}

// endLoad makes the adapter resident, or frees its slot if err or an injected fault makes
// the load fail.
func (e *Engine) endLoad(incarnation string, target *slot, order orderer.AdapterOrder, err error) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return refuse(http.StatusInternalServerError, orderer.TypeLoadFailed, "the engine restarted")
	}
	if e.faults.FailLoads > 0 {
		e.faults.FailLoads--
		err = errors.New("fault: load fails")
	}
	if p := e.faults.LoadFailure; err == nil && p > 0 && e.settings.Random.Float64() < p {
		err = errors.New("fault: load fails by chance")
	}
	defer func() { e.recordLoad(time.Now()) }()
	if err != nil {
		if target.phase == orderer.Loading {
			e.slots.free(target)
		}
		return refuse(http.StatusInternalServerError, orderer.TypeLoadFailed, err.Error())
	}
	target.phase = orderer.Resident
	target.path = order.Path
	e.record.Loads++
	return nil
}

// fetch downloads the weights from the weight store, if there is one.
func (e *Engine) fetch(ctx context.Context, path string) error {
	if e.settings.WeightStore == "" {
		return nil
	}
	address := path
	if !strings.HasPrefix(path, "http://") {
		address = strings.TrimSuffix(e.settings.WeightStore, "/") + weightsPath + strings.TrimPrefix(path, "/")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return errors.Annotate(err, "weights")
	}
	answer, err := e.settings.Client.Do(r)
	if err != nil {
		return errors.Annotate(err, "weights")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("weights: status %d", answer.StatusCode)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return errors.Annotate(err, "weights")
}

func (e *Engine) serveUnloadOrder(w http.ResponseWriter, r *http.Request) {
	order, refused := decodeOrder[orderer.AdapterOrder](r)
	if refused == nil {
		refused = e.unload(r, order.Name)
	}
	if refused != nil {
		writeError(w, refused)
		return
	}
	writeText(w, fmt.Sprintf("Success: LoRA adapter '%s' removed successfully.", order.Name))
}

// unload unloads a resident adapter and fails the requests that use it.
func (e *Engine) unload(r *http.Request, name string) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, refused := e.recordOrder(r, UnloadOrder, name)
	if refused != nil {
		return refused
	}
	if !e.slots.resident(name) {
		entry.Status = http.StatusNotFound
		return refuse(entry.Status, orderer.TypeNotFound, fmt.Sprintf("The lora adapter '%s' cannot be found.", name))
	}
	entry.InUse = e.inUse(name)
	if entry.InUse > 0 {
		e.record.UnloadsInUse++
	}
	for _, s := range e.sequences {
		if s.outcome == InProgress && s.Model == name {
			e.end(s, Unloaded, &orderer.ErrorDetail{
				Message: "the adapter was unloaded", Type: orderer.TypeUnloaded, Code: http.StatusInternalServerError,
			})
		}
	}
	e.slots.free(e.slots.find(name))
	e.recordLoad(time.Now())
	return nil
}

func (e *Engine) serveRoleOrder(w http.ResponseWriter, r *http.Request) {
	order, refused := decodeOrder[orderer.RoleOrder](r)
	if refused != nil {
		writeError(w, refused)
		return
	}
	e.mu.Lock()
	if _, refused = e.recordOrder(r, RoleOrder, order.Role.String()); refused == nil {
		e.role = order.Role
	}
	e.mu.Unlock()
	if refused != nil {
		writeError(w, refused)
		return
	}
	writeJSON(w, order)
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, text)
}
