package engine

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/standin/control"
)

// order sends an order to an engine.
func (b *testBed) order(engine string, o Order) *http.Response {
	b.t.Helper()
	return b.send(b.t.Context(), http.MethodPost, engine, "/v1/orders", nil, o)
}

// orders reads an engine's placement and orders.
func (b *testBed) orders(engine string) OrdersResponse {
	b.t.Helper()
	return readJSON[OrdersResponse](b.t, b.send(b.t.Context(), http.MethodGet, engine, "/v1/orders", nil, nil), 200)
}

func decodeOrder(fence uint64, models ...string) Order {
	return Order{Fence: fence, Role: config.RoleDecode, Models: models, Version: "v1"}
}

func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		withTestBed(t, func(c *Config) { c.ChecksFencing = checks }, func(t *testing.T, b *testBed) {
			readJSON[OrdersResponse](t, b.order(decodeA, decodeOrder(7, "m", "n")), 200)
			old := b.order(decodeA, decodeOrder(6, "m"))
			if checks {
				got := readJSON[control.ErrorBody](t, old, http.StatusConflict)
				assert.Equal(t, got.Error.Code, control.CodeStaleFence)
				assert.Equal(t, got.HighestFence, uint64(7))
			} else {
				readJSON[OrdersResponse](t, old, 200)
			}
			readJSON[OrdersResponse](t, b.order(decodeA, decodeOrder(7, "m", "o")), 200)
			time.Sleep(time.Second)
			synctest.Wait()
			got := b.orders(decodeA)
			assert.Equal(t, got.HighestFence, uint64(7))
			assert.DeepEqual(t, got.Models, []string{"m", "o"})
			assert.Equal(t, got.ChecksFencing, checks)
		})
	}
}

func TestOrderTakesTime(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		running := b.post(b.t.Context(), decodeRequest(decodeA, "a0", "r0", makePrompt("p", 10), 150, nil))
		code := func(attempt, model string) control.Code {
			a := decodeRequest(decodeA, attempt, attempt, "p", 1, nil)
			a.body.Model, a.body.Stream = model, false
			resp := b.post(b.t.Context(), a)
			if resp.StatusCode == http.StatusOK {
				b.drain(resp)
				return ""
			}
			return readJSON[control.ErrorBody](t, resp, resp.StatusCode).Error.Code
		}
		readJSON[OrdersResponse](t, b.order(decodeA, decodeOrder(1, "m", "n")), 200)
		assert.Assert(t, b.orders(decodeA).Loading != nil)
		assert.Equal(t, code("a1", "m"), control.Code("")) // m stays loaded
		assert.Equal(t, code("a2", "n"), control.CodeModelNotFound)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, code("a3", "n"), control.Code(""))

		// An order with the same content changes nothing.
		got := readJSON[OrdersResponse](t, b.order(decodeA, decodeOrder(2, "m", "n")), 200)
		assert.Assert(t, got.Loading == nil)
		assert.Equal(t, got.Applied, 2)
		assert.Equal(t, got.History[1].Changed, false)

		// A change of role refuses new requests until it is applied; running
		// generations continue.
		role := Order{Fence: 3, Role: config.RolePrefill, Models: []string{"m"}, Version: "v1"}
		readJSON[OrdersResponse](t, b.order(decodeA, role), 200)
		assert.Equal(t, code("a4", "m"), control.CodeModelNotFound)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, code("a5", "m"), control.CodeWrongRole)
		b.prefill(decodeA, "a6", "r6", "p")
		assert.Assert(t, readStream(t, running, 0).complete)
	})
}

func TestOrderClearsCache(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.prefill(prefillA, "a1", "r1", makePrompt("p", 40))
		order := Order{Fence: 1, Role: config.RolePrefill, Models: []string{"m"}, Version: "v2"}
		b.drain(b.order(prefillA, order))
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(b.blocks(prefillA).Hashes), 0)
		batches := b.events(prefillA, 0, 0).Batches
		assert.Equal(t, batches[len(batches)-1].Events[0].Type, AllBlocksCleared)
	})
}

func TestNewerOrderReplacesOneOnItsWay(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.drain(b.order(decodeA, decodeOrder(1, "n")))
		time.Sleep(900 * time.Millisecond)
		b.drain(b.order(decodeA, decodeOrder(2, "o")))
		time.Sleep(900 * time.Millisecond)
		assert.DeepEqual(t, b.orders(decodeA).Models, []string{"m"})
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, b.orders(decodeA).Models, []string{"o"})
	})
}

// TestOrderBack sends an order and then, before it is applied, one for the
// current placement. The first order must not take effect.
func TestOrderBack(t *testing.T) {
	withTestBed(t, nil, func(t *testing.T, b *testBed) {
		b.drain(b.order(decodeA, decodeOrder(1, "n")))
		b.drain(b.order(decodeA, decodeOrder(2, "m")))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		got := b.orders(decodeA)
		assert.DeepEqual(t, got.Models, []string{"m"})
		assert.Assert(t, got.Loading == nil)
	})
}
