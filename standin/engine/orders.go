package engine

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/standin/control"
)

// maxHistory bounds the orders that GET /v1/orders lists.
const maxHistory = 64

// placement is what the engine runs and the orders that made it so. It is
// guarded by the engine's mutex.
type placement struct {
	role     config.Role
	models   []string
	adapters []string
	version  string

	highest uint64
	// loading is the order that is being carried out, nil if none.
	loading *Order
	timer   *time.Timer
	applied int
	history []AppliedOrder
}

// servedModels returns the models for which work is taken: while an order is
// carried out, those that stay.
func (p *placement) servedModels() []string {
	if p.loading == nil {
		return p.models
	}
	if p.loading.Role != p.role || p.loading.Version != p.version {
		return []string{}
	}
	return slices.DeleteFunc(slices.Clone(p.models), func(m string) bool {
		return !slices.Contains(p.loading.Models, m)
	})
}

// target returns the order that describes what is in force or on its way.
func (p *placement) target() Order {
	if p.loading != nil {
		return *p.loading
	}
	return Order{Role: p.role, Models: p.models, Adapters: p.adapters, Version: p.version}
}

// sameContent reports whether two orders ask for the same.
func (o Order) sameContent(other Order) bool {
	return o.Role == other.Role && o.Version == other.Version &&
		slices.Equal(o.Models, other.Models) && slices.Equal(o.Adapters, other.Adapters)
}

// close stops the order being carried out.
func (p *placement) close() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// servePostOrder answers POST /v1/orders.
func (e *Engine) servePostOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !control.ReadJSON(w, r, &order) {
		return
	}
	if order.Role != config.RolePrefill && order.Role != config.RoleDecode {
		invalid("an engine can't have the role %q", order.Role).write(w)
		return
	}
	e.mu.Lock()
	p := &e.life.placement
	if e.cfg.ChecksFencing && order.Fence < p.highest {
		body := control.NewError(http.StatusConflict, control.CodeStaleFence,
			fmt.Sprintf("fence %d is older than %d", order.Fence, p.highest))
		body.Highest = p.highest
		e.mu.Unlock()
		control.WriteJSON(w, http.StatusConflict, body)
		return
	}
	e.take(order)
	out := e.orders()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, out)
}

// take begins to carry out an order.
func (e *Engine) take(order Order) {
	p := &e.life.placement
	changed := !order.sameContent(p.target())
	p.highest = max(p.highest, order.Fence)
	p.applied++
	p.history = append(p.history, AppliedOrder{Order: order, AtMS: time.Now().UnixMilli(), Changed: changed})
	if len(p.history) > maxHistory {
		p.history = p.history[len(p.history)-maxHistory:]
	}
	if !changed {
		return
	}
	p.close()
	p.loading = &order
	p.timer = time.AfterFunc(e.cfg.LoadWeights, func() { e.loaded(&order) })
}

// loaded puts an order in force, unless another has taken its place. Running
// generations go on; the prefix cache is of no more use.
func (e *Engine) loaded(order *Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.life.placement
	if p.loading != order {
		return
	}
	p.loading = nil
	p.role, p.models, p.adapters, p.version = order.Role, order.Models, order.Adapters, order.Version
	e.clearCache()
	e.poke()
}

// serveGetOrders answers GET /v1/orders.
func (e *Engine) serveGetOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := e.orders()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, out)
}

// orders describes the placement.
func (e *Engine) orders() OrdersResponse {
	p := &e.life.placement
	return OrdersResponse{
		Incarnation:   e.life.incarnation,
		Role:          p.role,
		Models:        p.models,
		Adapters:      p.adapters,
		Version:       p.version,
		Highest:       p.highest,
		ChecksFencing: e.cfg.ChecksFencing,
		Loading:       p.loading,
		Applied:       p.applied,
		History:       slices.Clone(p.history),
	}
}
