package engines

import (
	"context"
	"net/http"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// CodeStaleFence is the code of an engine's refusal of an old fencing number.
const CodeStaleFence = "stale_fence"

// Placement is what an engine is ordered to be.
type Placement struct {
	Role     config.Role `json:"role"`
	Models   []string    `json:"models"`
	Adapters []string    `json:"adapters"`
	Version  string      `json:"version"`
}

// Order is an order to an engine.
type Order struct {
	// Fence is the order's fencing number.
	Fence uint64 `json:"fence"`
	Placement
}

// OrderState is what an engine is, and is becoming.
type OrderState struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Placement
	// Highest is the highest fencing number that it has taken.
	Highest       uint64 `json:"highest"`
	ChecksFencing bool   `json:"checks_fencing"`
	// Loading is the order on its way, nil if none.
	Loading *Order `json:"loading"`
}

// ReadOrders reads an engine's state.
func (c *Client) ReadOrders(ctx context.Context, address string) (OrderState, error) {
	var s OrderState
	_, err := c.call(ctx, http.MethodGet, address, pathOrders, nil, &s)
	return s, err
}

// GiveOrder gives an order and returns the engine's state after it.
func (c *Client) GiveOrder(ctx context.Context, address string, o Order) (OrderState, error) {
	var s OrderState
	_, err := c.call(ctx, http.MethodPost, address, pathOrders, o, &s)
	return s, err
}
