package fleet

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/ident"
)

// queueLoad returns a load with one request in flight and the given queue of the service m.
func queueLoad(q admission.Queue) Load {
	l := loadOf(1)
	l.Queues["m"] = q
	return l
}

// loadWithoutQueues is the load as releases before the queues encode it and decode it.
type loadWithoutQueues struct {
	Complete    bool            `json:"c,omitempty"`
	InFlight    json.RawMessage `json:"f,omitempty"`
	Unavailable json.RawMessage `json:"x,omitempty"`
	Switching   json.RawMessage `json:"w,omitempty"`
	Demand      json.RawMessage `json:"d,omitempty"`
	Retries     json.RawMessage `json:"b,omitempty"`
	Limits      json.RawMessage `json:"l,omitempty"`
	Leaving     json.RawMessage `json:"g,omitempty"`
}

// TestCalmLoadsAreAsLongAsBefore guards against load reports that grow by the queues of a fleet in
// which nothing waits, and against releases without queues that do not decode a report with them.
func TestCalmLoadsAreAsLongAsBefore(t *testing.T) {
	calm, busy := loadOf(3, 10, 20), queueLoad(admission.Queue{Waiting: []int{2}, Returns: [][]int{{0, 1}}})
	for _, load := range []Load{calm, busy} {
		body, err := json.Marshal(load)
		assert.NilError(t, err)
		var old loadWithoutQueues
		assert.NilError(t, json.Unmarshal(body, &old))
		assert.Assert(t, old.InFlight != nil && old.Demand != nil)
		back, err := json.Marshal(old)
		assert.NilError(t, err)
		if len(load.Queues) == 0 {
			assert.Equal(t, string(body), string(back))
			continue
		}
		var fields map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(body, &fields))
		assert.Equal(t, string(fields["y"]), `{"m":{"w":[2],"r":[[0,1]]}}`)
	}
	h := NewHub()
	assert.NilError(t, h.Receive(at(0), LoadReport{From: "a1", Zone: "a", Load: calm}))
	answer, err := json.Marshal(h.Answer(at(10), "a2"))
	assert.NilError(t, err)
	var fields map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(answer, &fields))
	assert.Assert(t, fields["y"] == nil, "%s", answer)
}

// TestImpossibleQueuesAreDropped guards against a faulty peer whose numbers make all instances refuse
// their requests, and against the loss of the rest of its load.
func TestImpossibleQueuesAreDropped(t *testing.T) {
	eleven, tooMany := make([]int, 11), make([]int, admission.Ranks+1)
	for what, q := range map[string]admission.Queue{
		"negative number waiting":    {Waiting: []int{1, -1}},
		"too many ranks":             {Waiting: tooMany},
		"huge number waiting":        {Waiting: []int{100_001}},
		"negative number of returns": {Returns: [][]int{{0, -1}}},
		"returns too far ahead":      {Returns: [][]int{nil, eleven}},
		"returns of too many ranks":  {Returns: make([][]int, admission.Ranks+1)},
		"huge number of returns":     {Returns: [][]int{{100_001}}},
	} {
		for _, wholeZone := range []bool{false, true} {
			t.Run(what, func(t *testing.T) {
				h := NewHub()
				load := queueLoad(q)
				load.Queues["sound"] = admission.Queue{Waiting: []int{7}}
				r := LoadReport{From: "b1", Zone: "b", Load: load}
				if wholeZone {
					r.WholeZone, r.Packed = true, load.pack()
				}
				var invalid *QueueError
				assert.Assert(t, errors.As(h.Receive(at(0), r), &invalid))
				assert.Equal(t, invalid.Service, "m")
				sum := others(t, h, at(10), "a1")
				assert.Equal(t, sum.InFlight["e"].Requests, 1)
				assert.DeepEqual(t, sum.Queues, map[string]admission.Queue{"sound": {Waiting: []int{7}}})
			})
		}
	}
}

// TestReportsWithoutQueues guards against a report of an older release that is rejected or that
// hides the queues of others, and against an answer of an older hub that is not understood.
func TestReportsWithoutQueues(t *testing.T) {
	h := NewHub()
	var old LoadReport
	assert.NilError(t, json.Unmarshal([]byte(`{"from":"a1","zone":"a","s":1,"load":{"c":true,"f":{"e":{"r":2}}}}`), &old))
	assert.NilError(t, h.Receive(at(0), old))
	assert.NilError(t, h.Receive(at(0), LoadReport{From: "a2", Zone: "a", Load: queueLoad(admission.Queue{Waiting: []int{3}})}))
	sum := others(t, h, at(10), "a3")
	assert.Equal(t, sum.InFlight["e"].Requests, 3)
	assert.DeepEqual(t, sum.Queues["m"].Waiting, []int{3})

	empty := NewLoad()
	reports := ReportHistory{}
	sum, err := reports.PeerLoad(LoadAnswer{Sum: empty.pack()})
	assert.NilError(t, err)
	assert.Equal(t, len(sum.Queues), 0)
}

// TestOwnQueueIsNotAPeers guards against an instance that counts its own waiting requests a second
// time as those of others, and against queues of an instance or zone that are left out or added
// twice.
func TestOwnQueueIsNotAPeers(t *testing.T) {
	a, b := NewHub(), NewHub()
	assert.NilError(t, a.Receive(at(0), LoadReport{From: "a1", Zone: "a", Load: queueLoad(admission.Queue{Waiting: []int{1}, Returns: [][]int{{1}}})}))
	assert.NilError(t, a.Receive(at(0), LoadReport{From: "a2", Zone: "a", Load: queueLoad(admission.Queue{Waiting: []int{0, 2}})}))
	assert.NilError(t, b.Receive(at(0), LoadReport{From: "b1", Zone: "b", Load: queueLoad(admission.Queue{Waiting: []int{4}})}))
	zone := b.ZoneLoad(at(100))
	assert.NilError(t, a.Receive(at(100), LoadReport{From: "b1", Zone: "b", WholeZone: true, Packed: zone.pack(), Load: Load{Queues: zone.Queues}}))
	for id, want := range map[ident.InstanceID]admission.Queue{
		"a1": {Waiting: []int{4, 2}},
		"a2": {Waiting: []int{5}, Returns: [][]int{{1}}},
		"a3": {Waiting: []int{5, 2}, Returns: [][]int{{1}}},
	} {
		assert.DeepEqual(t, a.Answer(at(200), id).Queues["m"], want)
	}
}

// TestPromisedReturnsAreShiftedByTheirAge guards against returns that a hub tells to be later than
// they were promised, or that still count after their time.
func TestPromisedReturnsAreShiftedByTheirAge(t *testing.T) {
	h := NewHub()
	q := admission.Queue{Waiting: []int{1}, Returns: [][]int{{1, 2, 3}, {4}}}
	assert.NilError(t, h.Receive(at(0), LoadReport{From: "a1", Zone: "a", Load: queueLoad(q)}))
	for _, tc := range []struct {
		after time.Duration
		want  [][]int
	}{
		{499 * time.Millisecond, [][]int{{1, 2, 3}, {4}}},
		{500 * time.Millisecond, [][]int{{2, 3}, {}}},
		{1100 * time.Millisecond, [][]int{{3}, {}}},
	} {
		for _, got := range []admission.Queue{
			h.Answer(at(int(tc.after.Milliseconds())), "a2").Queues["m"],
			h.ZoneLoad(at(int(tc.after.Milliseconds()))).Queues["m"],
		} {
			assert.DeepEqual(t, got.Waiting, []int{1})
			assert.Equal(t, len(got.Returns), len(tc.want))
			for p, slots := range tc.want {
				assert.Equal(t, len(got.Returns[p]), len(slots), "priority %d after %v: %v", p, tc.after, got.Returns)
				for i, n := range slots {
					assert.Equal(t, got.Returns[p][i], n)
				}
			}
		}
	}
	assert.Equal(t, len(h.ZoneLoad(at(1600)).Queues), 0)
}
