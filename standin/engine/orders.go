package engine

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/standin/control"
)

// maxHistory is the maximum number of orders that GET /v1/orders lists.
const maxHistory = 64

// placement is the engine's role, models, adapters and version, with the orders
// that set them. The engine's mutex guards it.
type placement struct {
	role     config.Role
	models   []string
	adapters []string
	version  string

	highest uint64
	// loading is the order that is being applied, nil if none.
	loading *Order
	timer   *time.Timer
	applied int
	history []AppliedOrder
}

// servedModels returns the models for which the engine accepts requests. While
// an order is being applied, these are the models that it keeps; there are none
// if it changes the role or the version.
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

// target returns the order being applied or, if there is none, an order that
// describes the current placement.
func (p *placement) target() Order {
	if p.loading != nil {
		return *p.loading
	}
	return Order{Role: p.role, Models: p.models, Adapters: p.adapters, Version: p.version}
}

// samePlacement reports whether two orders specify the same placement. It
// ignores the fencing numbers.
func (o Order) samePlacement(other Order) bool {
	return o.Role == other.Role && o.Version == other.Version &&
		slices.Equal(o.Models, other.Models) && slices.Equal(o.Adapters, other.Adapters)
}

// close stops the timer of the order being applied.
func (p *placement) close() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// servePostOrder handles POST /v1/orders.
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
	p := &e.state.placement
	if e.cfg.ChecksFencing && order.Fence < p.highest {
		body := control.NewError(http.StatusConflict, control.CodeStaleFence,
			fmt.Sprintf("fence %d is older than %d", order.Fence, p.highest))
		body.HighestFence = p.highest
		e.mu.Unlock()
		control.WriteJSON(w, http.StatusConflict, body)
		return
	}
	e.acceptOrder(order)
	out := e.ordersResponse()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, out)
}

// acceptOrder records an order and starts applying it, unless it specifies the
// placement that is current or being applied.
func (e *Engine) acceptOrder(order Order) {
	p := &e.state.placement
	changed := !order.samePlacement(p.target())
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
	p.timer = time.AfterFunc(e.cfg.LoadWeights, func() { e.applyOrder(&order) })
}

// applyOrder makes an order's placement current, unless a later order has
// replaced it. Running generations continue. The prefix cache is cleared,
// because its blocks belong to the former placement.
func (e *Engine) applyOrder(order *Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &e.state.placement
	if p.loading != order {
		return
	}
	p.loading = nil
	p.role, p.models, p.adapters, p.version = order.Role, order.Models, order.Adapters, order.Version
	e.clearCache()
	e.wakeLoop()
}

// serveGetOrders handles GET /v1/orders.
func (e *Engine) serveGetOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := e.ordersResponse()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, out)
}

// ordersResponse returns the placement and the latest orders.
func (e *Engine) ordersResponse() OrdersResponse {
	p := &e.state.placement
	return OrdersResponse{
		Incarnation:   e.state.incarnation,
		Role:          p.role,
		Models:        p.models,
		Adapters:      p.adapters,
		Version:       p.version,
		HighestFence:  p.highest,
		ChecksFencing: e.cfg.ChecksFencing,
		Loading:       p.loading,
		Applied:       p.applied,
		History:       slices.Clone(p.history),
	}
}
