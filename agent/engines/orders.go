package engines

import (
	"context"
	"net/http"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// CodeStaleFence is the error code with which an engine rejects a stale fencing
// number.
const CodeStaleFence = "stale_fence"

// Placement is the role, models, adapters and version that an engine is assigned.
type Placement struct {
	Role     config.Role `json:"role"`
	Models   []string    `json:"models"`
	Adapters []string    `json:"adapters"`
	Version  string      `json:"version"`
}

// Order assigns a placement to an engine.
type Order struct {
	// Fence is the fencing number: an engine that checks it rejects an order whose
	// number is below the highest that it has accepted.
	Fence uint64 `json:"fence"`
	Placement
}

// OrderState is the current placement of an engine, and the order that it is
// carrying out.
type OrderState struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Placement
	// Highest is the highest fencing number that the engine has accepted.
	Highest       uint64 `json:"highest"`
	ChecksFencing bool   `json:"checks_fencing"`
	// Loading is the order that the engine is carrying out, nil if none.
	Loading *Order `json:"loading"`
}

// ReadOrders reads the order state of an engine.
func (c *Client) ReadOrders(ctx context.Context, address string) (OrderState, error) {
	var s OrderState
	_, err := c.call(ctx, http.MethodGet, address, pathOrders, nil, &s)
	return s, err
}

// SendOrder sends an order and returns the resulting state of the engine.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) (OrderState, error) {
	var s OrderState
	_, err := c.call(ctx, http.MethodPost, address, pathOrders, o, &s)
	return s, err
}
