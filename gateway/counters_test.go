package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/schedule"
)

// TestQueuesAreServed guards against a metrics listener that does not serve the queues of all
// services, or in an order that changes from one response to the next.
func TestQueuesAreServed(t *testing.T) {
	c := newCounters()
	defer c.close()
	queues := admission.New(1)
	h := c.handler(quarantine.NewRegister(), func() []limit.Status { return nil }, schedule.NewScheduler("a", 1), queues)
	get := func() (list []admission.Status) {
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/queues", nil))
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.NilError(t, json.Unmarshal(answer.Body.Bytes(), &list))
		assert.Assert(t, list != nil, "null in place of an empty list")
		return list
	}
	assert.Equal(t, len(get()), 0)

	now := time.Now()
	for _, service := range []string{"c", "a", "b"} {
		queues.Enter(now, admission.Request{Service: service, ID: "q", Priority: 1, MostUrgent: 1, Arrived: now})
	}
	queues.SetPeers(now, admission.Peers{Instances: 2, Queues: map[string]admission.Queue{"b": {Waiting: []int{4}}}})
	list := get()
	assert.Equal(t, len(list), 3)
	for i, service := range []string{"a", "b", "c"} {
		assert.Equal(t, list[i].Service, service)
		assert.DeepEqual(t, list[i].Own.Waiting, []int{0, 1})
		assert.Assert(t, !list[i].Alone)
	}
	assert.DeepEqual(t, list[1].Peers.Waiting, []int{4})
}
